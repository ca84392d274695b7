#include "entry/dispatcher.h"

namespace cumindyke
{

void Dispatcher::setDeclarations(std::shared_ptr<const Declarations> declarations, TimePoint now)
{
    m_declarations = std::move(declarations);
    rebuildUsable();
    serveAll(now);
}

void Dispatcher::upstreamRefused(const UpstreamName &upstream, TimePoint now)
{
    m_availability.refused(upstream, now);
    refresh(now);
}

void Dispatcher::upstreamTook(const UpstreamName &upstream, TimePoint now)
{
    m_availability.took(upstream);
    refresh(now);
}

void Dispatcher::setLeaving(std::set<UpstreamName> leaving, TimePoint now)
{
    m_availability.setLeaving(std::move(leaving));
    refresh(now);
}

void Dispatcher::refresh(TimePoint now)
{
    std::set<UpstreamName> unusable = m_availability.unusable(now);
    if (m_versions) {
        unusable.insert(m_versions->restingUpstreams().begin(), m_versions->restingUpstreams().end());
    }
    if (unusable != m_unusable) {
        m_unusable = std::move(unusable);
        rebuildUsable();
    }
}

void Dispatcher::rebuildUsable()
{
    if (m_unusable.empty()) {
        m_usable = m_declarations;
        return;
    }
    std::vector<Change> puts = Declarations().changesTo(*m_declarations);
    std::erase_if(puts, [this](const Change &change) {
        const auto *upstream = std::get_if<Upstream>(&change);
        return upstream && m_unusable.contains(upstream->name);
    });
    m_usable = std::make_shared<const Declarations>(Declarations::restored(m_declarations->revision(), puts));
}

void Dispatcher::add(const CallerRequest &request, TimePoint now)
{
    m_queues[request.service].add(PendingRequest{
        .id = request.id,
        .tier = request.rank,
        .organisation = request.organisation,
        .service = request.service,
        .arrival = request.arrival,
        .deadline = request.deadline,
        .work = TokenCount{request.promptTokens.value + request.answerTokens.value},
        .version = m_versions ? m_versions->choose(request, now) : VersionName{},
    });
}

bool Dispatcher::remove(const CallerRequest &request)
{
    const auto queue = m_queues.find(request.service);
    return queue != m_queues.end() && queue->second.remove(request.id);
}

void Dispatcher::serve(const ServiceName &service, TimePoint now)
{
    const auto queue = m_queues.find(service);
    const Service *declared = m_declarations->service(service);
    if (queue != m_queues.end() && declared) {
        serveQueue(*declared, queue->second, now);
    }
}

void Dispatcher::serveAll(TimePoint now)
{
    for (const auto &[service, queue] : m_queues) {
        serve(service, now);
    }
}

void Dispatcher::serveQueue(const Service &service, PendingQueue &queue, TimePoint now)
{
    while (const PendingRequest *first = queue.first()) {
        const std::shared_ptr<const Declarations> declarations = m_usable;
        const std::optional<Slot> slot = acquire(service, *first, *declarations, now);
        if (!slot) {
            return;
        }
        const Upstream *upstream = declarations->upstream(slot->upstream);
        if (!upstream) {
            m_capacity.release(*slot, now);
            return;
        }
        const RequestId id = first->id;
        queue.remove(id);
        m_availability.granted(upstream->name, now);
        refresh(now);
        m_granted.emit(id, *slot, *upstream);
    }
}

/// A request that was meant for a move's new version and finds it full takes the old one: it must not wait for an experiment.
std::optional<Slot> Dispatcher::acquire(const Service &service, const PendingRequest &request, const Declarations &declarations, TimePoint now)
{
    const VersionName version = m_versions ? m_versions->confirm(service, request.version, now) : service.version;
    std::optional<Slot> slot = m_capacity.acquire(request, declarations, version, now);
    if (!slot && version != service.version) {
        slot = m_capacity.acquire(request, declarations, service.version, now);
    }
    return slot;
}

std::vector<RequestId> Dispatcher::takeExpired(TimePoint now)
{
    std::vector<RequestId> expired;
    for (auto &[service, queue] : m_queues) {
        for (const PendingRequest &request : queue.takeExpired(now)) {
            expired.push_back(request.id);
        }
    }
    return expired;
}

void Dispatcher::release(const Slot &slot, TimePoint now)
{
    m_capacity.release(slot, now);
}

}

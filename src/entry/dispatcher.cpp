#include "entry/dispatcher.h"

#include "policy/servequeue.h"
#include "policy/shedding.h"

namespace cumindyke
{

namespace
{

/// A request that found no room on a move's new version for this long goes to the old one.
constexpr Duration WaitForNewVersion = std::chrono::milliseconds(300);

}

Dispatcher::Dispatcher(const VmName &vm, const std::set<VmName> &vms)
    : m_capacity(vm)
    , m_share{.index = static_cast<std::uint32_t>(std::distance(vms.begin(), vms.find(vm))), .count = static_cast<std::uint32_t>(vms.size())}
{
}

void Dispatcher::setDeclarations(std::shared_ptr<const Declarations> declarations, TimePoint now)
{
    const std::set<UpstreamName> resting = m_versions ? m_versions->restingUpstreams() : std::set<UpstreamName>{};
    if (declarations != m_declarations || resting != m_resting) {
        m_declarations = std::move(declarations);
        m_resting = resting;
        std::vector<PooledUpstream> upstreams;
        for (const auto &[name, upstream] : m_declarations->upstreams()) {
            if (m_resting.contains(name)) {
                continue;
            }
            const CellName cell{upstream.service.value + "/" + upstream.dataCentre.value};
            upstreams.push_back(PooledUpstream{.name = name, .service = upstream.service, .version = upstream.version, .cell = cell, .slots = upstream.slots});
        }
        m_capacity.setUpstreams(upstreams, m_share);
    }
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
    for (const UpstreamName &upstream : m_availability.unusable(now)) {
        m_capacity.recordUnreachable(upstream, now);
    }
    rerouteWaiting(now);
}

void Dispatcher::add(const CallerRequest &request, TimePoint now)
{
    PendingRequest pending{
        .id = request.id,
        .tier = request.rank,
        .organisation = request.organisation,
        .service = request.service,
        .arrival = request.arrival,
        .deadline = request.deadline,
        .promptTokens = request.promptTokens,
        .answerTokens = m_lengths.answer(request.service, request.route, request.answerTokens),
        .prefix = request.prefix,
        .version = m_versions ? m_versions->choose(request, now) : VersionName{},
    };
    pending.answerTokens = feasibleAnswer(m_capacity, pending, now);
    pending.work = TokenCount{pending.promptTokens.value + pending.answerTokens.value};
    m_queues[request.service].add(std::move(pending));
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
    const std::shared_ptr<const Declarations> declarations = m_declarations;
    cumindyke::serveQueue(queue, m_capacity, *declarations, service.version, now, [&](const PendingRequest &request, const Slot &slot) {
        const Upstream *upstream = declarations->upstream(slot.upstream);
        if (!upstream) {
            m_capacity.release(slot, now);
            return;
        }
        m_availability.granted(upstream->name, now);
        m_granted.emit(request.id, slot, *upstream);
    });
}

/// A request that was meant for a move's new version takes the old one when the move has ended or is tripped, and when the new one had no
/// room for it: it must not wait for an experiment.
void Dispatcher::rerouteWaiting(TimePoint now)
{
    for (auto &[name, queue] : m_queues) {
        const Service *service = m_declarations->service(name);
        if (!m_versions || !service) {
            continue;
        }
        for (const PendingRequest *waiting : queue.inOrder(MaxServedPerPass)) {
            if (waiting->version.value.empty()) {
                continue;
            }
            const bool waitedLong = now - waiting->arrival > WaitForNewVersion;
            if (!waitedLong && m_versions->confirm(*service, waiting->version, now) == waiting->version) {
                continue;
            }
            PendingRequest request = *waiting;
            request.version = {};
            queue.remove(request.id);
            queue.add(std::move(request));
        }
    }
}

std::vector<PendingRequest> Dispatcher::shedRequests(TimePoint now)
{
    std::vector<PendingRequest> all;
    for (auto &[service, queue] : m_queues) {
        for (PendingRequest &request : cumindyke::shedRequests(queue, m_capacity, service, now)) {
            all.push_back(std::move(request));
        }
    }
    return all;
}

bool Dispatcher::refuses(const ServiceName &service, TierRank tier, TimePoint now) const
{
    const std::optional<TierRank> from = m_capacity.refuseFrom(service, now);
    return from && tier >= *from;
}

void Dispatcher::takeGrants(const Grants &grants, TimePoint now)
{
    m_capacity.handleGrants(grants, now);
    serveAll(now);
}

std::vector<CellMessages> Dispatcher::cellMessages(TimePoint now)
{
    std::vector<CellMessages> all;
    for (const auto &[name, service] : m_declarations->services()) {
        for (CellMessages &messages : m_capacity.messages(name, m_queues[name], service.version, now)) {
            all.push_back(std::move(messages));
        }
    }
    return all;
}

void Dispatcher::learnAnswer(const CallerRequest &request, TokenCount answer)
{
    m_lengths.recordAnswer(request.service, request.route, request.answerTokens, answer);
}

std::size_t Dispatcher::waiting(const ServiceName &service) const
{
    const auto queue = m_queues.find(service);
    return queue == m_queues.end() ? 0 : queue->second.size();
}

void Dispatcher::release(const Slot &slot, TimePoint now)
{
    m_capacity.release(slot, now);
}

}

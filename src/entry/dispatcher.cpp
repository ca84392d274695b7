#include "entry/dispatcher.h"

#include "policy/servequeue.h"
#include "policy/shedding.h"

namespace cumindyke
{

namespace
{

/// A request that got no slot on a move's new version within this time goes to the old version.
constexpr Duration MaxWaitForNewVersion = std::chrono::milliseconds(300);

}

Dispatcher::Dispatcher(const VmName &vm, const std::set<VmName> &vms)
    : m_capacity(vm)
    , m_share{.index = static_cast<std::uint32_t>(std::distance(vms.begin(), vms.find(vm))), .count = static_cast<std::uint32_t>(vms.size())}
{
}

void Dispatcher::setDeclarations(std::shared_ptr<const Declarations> declarations, TimePoint now)
{
    const std::set<UpstreamName> excluded = m_versions ? m_versions->excludedUpstreams() : std::set<UpstreamName>{};
    if (declarations != m_declarations || excluded != m_excludedUpstreams) {
        m_declarations = std::move(declarations);
        m_excludedUpstreams = excluded;
        std::vector<PooledUpstream> upstreams;
        for (const auto &[name, upstream] : m_declarations->upstreams()) {
            if (m_excludedUpstreams.contains(name)) {
                continue;
            }
            const CellName cell{upstream.service.value + "/" + upstream.dataCentre.value};
            upstreams.push_back(PooledUpstream{.name = name, .service = upstream.service, .version = upstream.version, .cell = cell, .slots = upstream.slots});
        }
        m_capacity.setUpstreams(upstreams, m_share);
    }
    dispatchAllQueued(now);
}

void Dispatcher::onUpstreamRefused(const UpstreamName &upstream, TimePoint now, Duration pause)
{
    m_availability.recordRefusal(upstream, now, pause);
    refreshAvailability(now);
}

void Dispatcher::onUpstreamAccepted(const UpstreamName &upstream, TimePoint now)
{
    m_availability.recordAcceptance(upstream);
    refreshAvailability(now);
}

void Dispatcher::setDrainingUpstreams(std::set<UpstreamName> draining, TimePoint now)
{
    m_availability.setDraining(std::move(draining));
    refreshAvailability(now);
}

void Dispatcher::refreshAvailability(TimePoint now)
{
    for (const UpstreamName &upstream : m_availability.unusableUpstreams(now)) {
        m_capacity.recordUnreachable(upstream, now);
    }
    rerouteQueued(now);
}

void Dispatcher::enqueue(const CallerRequest &request, bool isOnTrial, TimePoint now)
{
    PendingRequest pending{
        .id = request.id,
        .tier = request.rank,
        .organisation = request.organisation,
        .service = request.service,
        .arrival = request.arrival,
        .deadline = request.deadline,
        .promptTokens = request.promptTokens,
        .answerTokens = m_lengthEstimate.answer(request.service, request.route, request.maxAnswerTokens),
        .prefix = request.prefix,
        .version = m_versions ? m_versions->chooseVersion(request, now) : VersionName{},
        .isOnTrial = isOnTrial,
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

void Dispatcher::dispatchQueued(const ServiceName &service, TimePoint now)
{
    const auto queue = m_queues.find(service);
    const Service *declared = m_declarations->service(service);
    if (queue != m_queues.end() && declared) {
        dispatchQueue(*declared, queue->second, now);
    }
}

void Dispatcher::dispatchAllQueued(TimePoint now)
{
    for (const auto &[service, queue] : m_queues) {
        dispatchQueued(service, now);
    }
}

void Dispatcher::dispatchQueue(const Service &service, PendingQueue &queue, TimePoint now)
{
    const std::shared_ptr<const Declarations> declarations = m_declarations;
    cumindyke::serveQueue(queue, m_capacity, *declarations, service.version, now, [&](const PendingRequest &request, const Slot &slot) {
        const Upstream *upstream = declarations->upstream(slot.upstream);
        if (!upstream) {
            m_capacity.release(slot, now);
            return;
        }
        m_availability.recordDispatch(upstream->name, now);
        m_slotGranted.emit(request.id, slot, *upstream);
    });
}

/// Reroutes a queued request from a move's new version to the old one when the move has ended or is tripped, or when the new version had
/// no free slot for MaxWaitForNewVersion: a move must not delay requests.
void Dispatcher::rerouteQueued(TimePoint now)
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
            const bool waitedLong = now - waiting->arrival > MaxWaitForNewVersion;
            if (!waitedLong && m_versions->confirmVersion(*service, waiting->version, now) == waiting->version) {
                continue;
            }
            PendingRequest request = *waiting;
            request.version = {};
            queue.remove(request.id);
            queue.add(std::move(request));
        }
    }
}

std::vector<PendingRequest> Dispatcher::removeUnservable(TimePoint now)
{
    std::vector<PendingRequest> all;
    for (auto &[service, queue] : m_queues) {
        for (PendingRequest &request : cumindyke::shedRequests(queue, m_capacity, service, now)) {
            all.push_back(std::move(request));
        }
    }
    return all;
}

bool Dispatcher::refusesNewRequests(const ServiceName &service, TierRank tier, TimePoint now) const
{
    const std::optional<TierRank> from = m_capacity.refuseFrom(service, now);
    return from && tier >= *from;
}

void Dispatcher::handleGrants(const Grants &grants, TimePoint now)
{
    m_capacity.handleGrants(grants, now);
    dispatchAllQueued(now);
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

void Dispatcher::recordAnswerLength(const CallerRequest &request, TokenCount answer)
{
    m_lengthEstimate.recordAnswer(request.service, request.route, request.maxAnswerTokens, answer);
}

std::size_t Dispatcher::queueLength(const ServiceName &service) const
{
    const auto queue = m_queues.find(service);
    return queue == m_queues.end() ? 0 : queue->second.size();
}

void Dispatcher::releaseSlot(const Slot &slot, TimePoint now)
{
    m_capacity.release(slot, now);
}

}

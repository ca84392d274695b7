// PlacementServer: the organisations' shares of scarce slots.

#include "placement/placementserver.h"

namespace cumindyke
{

namespace
{

constexpr Duration HeldBackReportInterval = std::chrono::seconds(1);
/// An organisation is held back if its usage is this many times the smallest one: below that, they take turns.
constexpr double HeldBackRatio = 1.1;
/// Stands for the organisations of further attempts, which a placement request does not name.
const std::string FurtherAttempts{"(further attempts)"};
constexpr double FurtherAttemptUsage = -1;

/// A further attempt goes before the first attempts of its rank: its organisation was charged for the first one, and it has less time left. Entry VMs
/// bound the number of further attempts.
bool isFurtherAttempt(const std::string &organisation, const std::set<InstanceName> &tried)
{
    return organisation.empty() && !tried.empty();
}

}

void PlacementServer::enqueue(const RequestKey &key, const TrackedRequest &request)
{
    RequestQueue<RequestKey> &queue = m_services[request.service].queue;
    const bool hasClaim = request.arrival.hasClaim;
    if (!m_features.fairShares) {
        queue.enqueue(key, request.rank, request.latestStart, request.queueExpiresAt, {}, 0, hasClaim);
        return;
    }
    if (isFurtherAttempt(request.organisation, request.tried)) {
        queue.enqueue(key, request.rank, request.latestStart, request.queueExpiresAt, FurtherAttempts, FurtherAttemptUsage);
        return;
    }
    const auto smallestUsage = queue.waitingOf(request.organisation) == 0 ? queue.smallestUsage(request.rank) : std::nullopt;
    if (smallestUsage) {
        m_shares.limitCredit(request.service, request.organisation, *smallestUsage);
    }
    const double usage = m_shares.usage(request.service, request.organisation);
    queue.enqueue(key, request.rank, request.latestStart, request.queueExpiresAt, request.organisation, usage, hasClaim);
}

void PlacementServer::rescaleShares(TimePoint now)
{
    if (m_features.fairShares && m_shares.rescale(now)) {
        refreshUsages();
    }
}

void PlacementServer::refreshUsages()
{
    for (auto &[name, service] : m_services) {
        service.queue.refreshUsages([this, &name = name](const std::string &organisation) {
            return organisation == FurtherAttempts ? FurtherAttemptUsage : m_shares.usage(name, organisation);
        });
    }
}

void PlacementServer::refreshUsage(const ServiceName &service, const std::string &organisation)
{
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        found->second.queue.setUsage(organisation, m_shares.usage(service, organisation));
    }
}

void PlacementServer::chargeShare(TrackedRequest &request, TimePoint now)
{
    if (!m_features.fairShares || isFurtherAttempt(request.organisation, request.tried)) {
        return;
    }
    const Duration time = m_pool.expectedSlotTime(request.service, request.promptTokens, request.expectedEvents);
    request.chargedMs = std::chrono::duration<double, std::milli>(time).count();
    request.chargedAt = now;
    const double usage = m_shares.charge(request.service, request.organisation, request.chargedMs, now);
    m_services[request.service].queue.setUsage(request.organisation, usage);
}

void PlacementServer::refundShare(const TrackedRequest &request)
{
    if (request.chargedMs > 0) {
        m_shares.refund(request.service, request.organisation, request.chargedMs, request.chargedAt);
        refreshUsage(request.service, request.organisation);
    }
}

/// Called before a grant, while the request to be granted still waits.
void PlacementServer::reportHeldBack(const ServiceName &name, Service &service, TimePoint now)
{
    if (!m_features.fairShares || now - service.heldBackReportedAt < HeldBackReportInterval || service.queue.organisationCount() < 2) {
        return;
    }
    const auto last = service.queue.lastServed();
    if (!last || last->usage <= HeldBackRatio * last->smallestUsage) {
        return;
    }
    service.heldBackReportedAt = now;
    m_heldBack.push_back(HeldBackOrganisation{
        .service = name,
        .organisation = last->organisation,
        .partOfWork = m_shares.partOfWork(name, last->organisation),
        .waiting = service.queue.waitingOf(last->organisation),
        .organisations = service.queue.organisationCount(),
    });
}

}

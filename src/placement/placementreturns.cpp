// PlacementServer: refusals at arrival, and the times at which refused requests return.

#include "placement/placementserver.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Callers wait for at most this part of the time until their deadline before they return.
constexpr int CallerPatienceDivisor = 3;
/// A request that can't be on time when it returns gets a time in the last part of its range.
constexpr int LateRangeDivisor = 3;
/// A sooner return would meet the queue in which the request was refused.
constexpr Duration MinPlannedReturn = std::chrono::milliseconds(100);

std::size_t countUpTo(const auto &queue, PriorityRank rank)
{
    std::size_t count = 0;
    for (const auto &[waitingRank, waiting] : queue.countsByRank()) {
        count += waitingRank <= rank ? waiting : 0;
    }
    return count;
}

}

/// A further attempt has been admitted before: it is neither refused at arrival nor a return. A VM of an older version computes no hash, and its requests are
/// treated as without planned returns.
bool PlacementServer::isPlannable(const TrackedRequest &request) const
{
    return m_features.plannedReturns && request.tried.empty() && request.contentHash != 0;
}

void PlacementServer::recordArrival(const RequestKey &key, TrackedRequest &request, TimePoint now)
{
    if (!m_features.plannedReturns) {
        return;
    }
    Service &service = m_services[request.service];
    service.drainRate.recordArrival(request.rank, now);
    if (isPlannable(request)) {
        request.arrival = service.returns.recordArrival(ReturnKey{request.organisation, request.contentHash}, now);
        service.arrivals.push_back(key);
    }
}

/// Returns how long the caller of a refused request shall wait. "overloadTime": how long the overload has lasted, within bounds; used while the wait can't be
/// predicted.
Duration PlacementServer::planReturn(Service &service, TrackedRequest &request, Duration overloadTime, TimePoint now)
{
    const std::optional<Duration> predictedWait = service.drainRate.predictedWait(request.rank, countUpTo(service.queue, request.rank), now);
    const Duration answerTime = likelyAnswerTime(request);
    const Duration latest = std::min(request.deadline - now - answerTime, (request.deadline - now) / CallerPatienceDivisor);
    Duration retryAfter = overloadTime;
    bool hasClaim = false;
    if (latest >= MinPlannedReturn) {
        Duration earliest = std::clamp(predictedWait.value_or(overloadTime), MinPlannedReturn, latest);
        // It gains nothing by an early return.
        if (now + earliest + answerTime > request.objectiveAt) {
            earliest = latest - (latest - earliest) / LateRangeDivisor;
        }
        const ReturnSchedule::Booking booking = service.returns.book(ReturnKey{request.organisation, request.contentHash},
                                                                     ReturnSchedule::Range{.earliest = now + earliest, .latest = now + latest},
                                                                     request.arrival.isReturn,
                                                                     service.drainRate.grantsPerSecond(now),
                                                                     now);
        retryAfter = booking.at - now;
        hasClaim = booking.hasClaim;
    }
    request.refusal.set_inputs("waiting=" + std::to_string(service.queue.size())
                               + " predicted_wait_ms=" + (predictedWait ? std::to_string(wholeMilliseconds(*predictedWait)) : "unknown")
                               + " return_in_ms=" + std::to_string(wholeMilliseconds(retryAfter)) + " claim=" + (hasClaim ? "yes" : "no"));
    return retryAfter;
}

/// Refuses the requests that arrived since the last pass and are predicted to wait for longer than they may, least urgent first.
void PlacementServer::refuseArrivals(const ServiceName &name, Service &service, TimePoint now)
{
    struct Arrival
    {
        RequestKey key;
        PriorityRank rank;
    };
    std::vector<Arrival> arrivals;
    for (const RequestKey &key : std::exchange(service.arrivals, {})) {
        const auto entryVm = m_entryVms.find(key.vm);
        if (entryVm == m_entryVms.end()) {
            continue;
        }
        const auto request = entryVm->second.requests.find(key.id);
        if (request != entryVm->second.requests.end() && request->second.stage == Stage::Waiting && !request->second.arrival.hasClaim) {
            arrivals.push_back(Arrival{.key = key, .rank = request->second.rank});
        }
    }
    // Of a rank, the last to arrive first: the others wait for a shorter time when it is gone.
    std::ranges::reverse(arrivals);
    std::ranges::stable_sort(arrivals, std::ranges::greater{}, &Arrival::rank);
    for (const Arrival &arrival : arrivals) {
        EntryVm &entryVm = m_entryVms[arrival.key.vm];
        const TrackedRequest &request = entryVm.requests[arrival.key.id];
        if (request.stage != Stage::Waiting) {
            continue;
        }
        const std::optional<Duration> wait = service.drainRate.predictedWait(arrival.rank, countUpTo(service.queue, arrival.rank) - 1, now);
        if (!wait || *wait <= request.queueExpiresAt - now || service.drainRate.hasGrantedLower(arrival.rank, now)) {
            continue;
        }
        if (m_pool.hasFreeSlot(name, now) && place(queryFor(entryVm, request, now), request, now).upstream) {
            continue; // It waits for a slot that answers sooner.
        }
        refuseLowerRanks(name, service, arrival.rank, now);
        service.queue.remove(arrival.key);
        ++m_arrivalRefusals;
        refuseForLackOfSlot(service, arrival.key, now);
    }
}

/// As RequestQueue::removeExpired(): no higher rank is refused while a lower one keeps waiting.
void PlacementServer::refuseLowerRanks(const ServiceName &name, Service &service, PriorityRank rank, TimePoint now)
{
    if (service.queue.countsByRank().empty() || service.queue.countsByRank().rbegin()->first <= rank) {
        return;
    }
    std::vector<std::pair<PriorityRank, RequestKey>> lower;
    for (const auto &[vm, entryVm] : m_entryVms) {
        for (const auto &[id, request] : entryVm.requests) {
            if (request.stage == Stage::Waiting && request.service == name && request.rank > rank) {
                lower.emplace_back(request.rank, RequestKey{vm, id});
            }
        }
    }
    std::ranges::sort(lower, std::ranges::greater{});
    for (const auto &[lowerRank, key] : lower) {
        service.queue.remove(key);
        refuseForLackOfSlot(service, key, now);
    }
}

ReturnCounts PlacementServer::takeReturnCounts()
{
    ReturnCounts counts{.arrivalRefusals = std::exchange(m_arrivalRefusals, 0)};
    for (auto &[name, service] : m_services) {
        const ReturnCounts ends = service.returns.takeCounts();
        counts.kept += ends.kept;
        counts.early += ends.early;
        counts.expired += ends.expired;
    }
    return counts;
}

}

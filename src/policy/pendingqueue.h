#pragma once

#include "common/types.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cumindyke
{

/// A request that waits for capacity.
struct PendingRequest
{
    RequestId id;
    TierRank tier;
    OrganisationName organisation;
    ServiceName service;
    TimePoint arrival;
    TimePoint deadline;
    /// Predicted prompt and answer tokens.
    TokenCount work;
    /// The prompt's and the answer's share of the work; 0 when the split is unknown.
    TokenCount promptTokens;
    TokenCount answerTokens;
    /// Hash of the prompt's prefix, which other requests may share; 0 when the prompt has none.
    std::uint64_t prefix = 0;
    /// The version that the request is routed to; empty for the service's declared version.
    VersionName version;
    /// Whether the request is a suspect that runs under a trial (see CrashLedger). An upstream runs one of these at a time: if its process ends, no
    /// other request fails its trial with it.
    bool isOnTrial = false;
};

/// The requests that wait on one entry VM for capacity of one service. The highest tier is served first. Within a tier, capacity is shared
/// fairly between organisations by work, and the earliest deadline is served first among organisations that have been served about equally.
class PendingQueue
{
public:
    /// Sets the organisations' weights within a tier; an organisation that is not in the map has weight 1.
    void setWeights(std::map<OrganisationName, std::uint32_t> weights);
    /// Enqueues a request.
    void add(PendingRequest request);
    /// Removes a request without counting its work as served. Returns false when the request is not in the queue.
    bool remove(const RequestId &id);
    /// Removes a request that got capacity, and counts its work as served for its organisation. Returns false when it is not in the queue.
    bool dequeue(const RequestId &id);
    /// Returns the request to be served next, or null when the queue is empty.
    const PendingRequest *first() const;
    /// Returns at most count requests in the order of service: by tier, and within a tier round-robin over the organisations, each
    /// organisation's earliest deadline first.
    std::vector<const PendingRequest *> inOrder(std::size_t count) const;
    /// Removes and returns every request whose deadline is not after now.
    std::vector<PendingRequest> removeExpired(TimePoint now);
    /// Removes and returns every request of the given and of lower tiers.
    std::vector<PendingRequest> removeTiersFrom(TierRank highestTier);
    /// Returns the requests whose deadlines are not after a point in time, the earliest deadline first.
    std::vector<const PendingRequest *> dueBy(TimePoint latest) const;
    /// Returns the lowest tier in the queue, or nothing when the queue is empty.
    std::optional<TierRank> lowestPendingTier() const;
    std::size_t size() const
    {
        return m_requests.size();
    }

private:
    /// Requests in the order of their deadlines.
    using DeadlineOrder = std::set<std::pair<TimePoint, RequestId>>;

    std::uint32_t weight(const OrganisationName &organisation) const;
    double servedWork(const OrganisationName &organisation) const;

    std::map<OrganisationName, std::uint32_t> m_weights;
    std::unordered_map<RequestId, PendingRequest> m_requests;
    std::map<TierRank, std::map<OrganisationName, DeadlineOrder>> m_tiers;
    DeadlineOrder m_byDeadline;
    /// Served work in tokens, divided by weight. An organisation that had no waiting request starts at the least of those that wait, so
    /// that it accrues no credit while idle.
    std::unordered_map<OrganisationName, double> m_servedWork;
};

}

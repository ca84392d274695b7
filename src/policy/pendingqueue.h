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

/// What the queue needs to know of a waiting request.
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
    /// The two parts of the work, when they are known apart.
    TokenCount promptTokens;
    TokenCount answerTokens;
    /// Fingerprint of the prompt's beginning, which other requests may share; 0 when there is none.
    std::uint64_t prefix = 0;
    /// The version it is routed to; empty: the service's.
    VersionName version;
};

/// Requests that wait on one entry VM for capacity of one service: the highest tier first, inside a tier fair between organisations
/// by work, and the earliest deadline first among organisations that are about even.
class PendingQueue
{
public:
    /// Shares of a tier between organisations; who has none has 1.
    void setWeights(std::map<OrganisationName, std::uint32_t> weights);
    void add(PendingRequest request);
    /// False when the request is not waiting.
    bool remove(const RequestId &id);
    /// Like remove(), and counts the request's work as served for its organisation.
    bool dequeue(const RequestId &id);
    /// The request that capacity should go to next, or null.
    const PendingRequest *first() const;
    /// At most count requests, in the order of tiers; inside a tier the organisations in turn, of each the earliest deadlines.
    std::vector<const PendingRequest *> inOrder(std::size_t count) const;
    /// Takes every request whose deadline is not after now.
    std::vector<PendingRequest> takeExpired(TimePoint now);
    /// Takes every request of the tier and lower ones.
    std::vector<PendingRequest> takeFrom(TierRank highest);
    /// The requests whose deadlines are not after a time, the earliest first.
    std::vector<const PendingRequest *> dueBefore(TimePoint when) const;
    std::optional<TierRank> lowestTier() const;
    std::size_t size() const
    {
        return m_requests.size();
    }

private:
    using Waiting = std::set<std::pair<TimePoint, RequestId>>;

    std::uint32_t weight(const OrganisationName &organisation) const;
    double served(const OrganisationName &organisation) const;

    std::map<OrganisationName, std::uint32_t> m_weights;
    std::unordered_map<RequestId, PendingRequest> m_requests;
    std::map<TierRank, std::map<OrganisationName, Waiting>> m_tiers;
    Waiting m_byDeadline;
    /// Work served, divided by weight. An organisation that comes back from idleness starts at the least of those that wait, so that
    /// it has no claim on the time when it asked for nothing.
    std::unordered_map<OrganisationName, double> m_served;
};

}

#pragma once

#include "common/types.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>
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

/// Requests that wait on one entry VM for capacity of one service: the highest tier first, inside a tier the earliest deadline.
class PendingQueue
{
public:
    void add(PendingRequest request);
    /// False when the request is not waiting.
    bool remove(const RequestId &id);
    /// The request that capacity should go to next, or null.
    const PendingRequest *first() const;
    /// Takes every request whose deadline is not after now.
    std::vector<PendingRequest> takeExpired(TimePoint now);
    std::size_t size() const
    {
        return m_requests.size();
    }

private:
    using Order = std::tuple<TierRank, TimePoint, RequestId>;

    std::map<RequestId, PendingRequest> m_requests;
    std::set<Order> m_order;
    std::set<std::pair<TimePoint, RequestId>> m_byDeadline;
};

}

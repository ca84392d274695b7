#pragma once

#include "common/types.h"
#include "placement/requestqueue.h"

#include "routing.pb.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cumindyke
{

/// Rate limits of the organisations over the whole fleet, as seen by one placement server: a token bucket per organisation that is refilled at the
/// limit's rate and charged by admitted requests. Pure: time is an argument.
///
/// Every server has a bucket of the full size. It takes tokens for its own admissions at once, and for those of other servers when their load notices
/// arrive, some milliseconds later: an organisation below its limit is never refused, however unevenly its requests are spread. A server that receives
/// the notices of some of the others only refills its buckets in proportion to the entry VMs of these, so that partitioned servers together admit no
/// more than the limit.
class FleetLimits
{
public:
    /// "tolerance": tokens (or requests) that may be admitted beyond each burst; the setting limit_slack. "isRanked": the reserve for more urgent requests
    /// covers what arrives at all servers, not only here.
    explicit FleetLimits(std::uint64_t tolerance, bool isRanked = false)
        : m_tolerance(static_cast<double>(tolerance))
        , m_isRanked(isRanked)
    {
    }

    /// Sets the limits in force.
    void setRoutes(const v1::RouteTable &routes, TimePoint now);
    /// Sets the share of all entry VMs, 0 to 1, whose admissions are known here. When the share decreases, the bucket levels are scaled down with
    /// it.
    void setCoverage(double coverage, TimePoint now);
    /// Sets the share of all entry VMs, 0 to 1, that send their requests here.
    void setOwnShare(double share)
    {
        m_ownShare = std::clamp(share, MinOwnShare, 1.0);
    }
    /// Applies the admissions that another server's process has counted since its start. With "adoptLevels", for use while this server has no
    /// requests, the sender's bucket levels replace the local ones.
    void handleNotice(const VmName &from, const v1::LoadNotice &notice, bool adoptLevels, TimePoint now);
    /// Writes the admissions counted here, if any of them changed and periodically otherwise. "withLevels" adds the bucket levels, for a receiver
    /// that may have to take over.
    void writeNotice(v1::LoadNotice &notice, bool withLevels, TimePoint now);

    /// Admits a request of this cost, or returns the time after which a similar request is likely to be admitted. While an organisation's demand
    /// exceeds its limit, requests of lower ranks leave a reserve to more urgent ones.
    std::optional<Duration> tryAdmit(const std::string &organisation, std::uint64_t cost, PriorityRank rank, TimePoint now);
    /// Refunds a request that was admitted but is refused for another reason.
    void refund(const std::string &organisation, std::uint64_t cost);
    /// Time during which no request of the organisation can be admitted, unless something is refunded.
    Duration timeUntilOpen(const std::string &organisation) const;
    /// Inputs of the last decision about the organisation, for the log.
    std::string describeDecision(const std::string &organisation) const;

private:
    /// Demand per second, averaged with exponential decay over a window.
    struct DecayingRate
    {
        double ratePerSecond = 0;
        TimePoint updatedAt;

        void record(double cost, std::chrono::duration<double> window, TimePoint now);
        double currentRate(std::chrono::duration<double> window, TimePoint now) const;
    };
    struct Bucket
    {
        /// Tokens (or requests) per second; 0: no limit.
        double rate = 0;
        double burst = 0;
        std::optional<double> level;
        /// Part of the level that belongs to entry VMs that are not covered; restored when they become covered.
        double withheld = 0;
        TimePoint refilledAt;
        /// Admitted by this process since its start.
        std::int64_t admitted = 0;
        /// Demand at all servers.
        DecayingRate demand;
        /// Demand at this server.
        std::map<PriorityRank, DecayingRate> demandByRank;
        /// Requests at this server; only under ranked limits.
        std::map<PriorityRank, DecayingRate> requestsByRank;
    };
    struct Peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::map<std::string, std::int64_t> admitted;
    };

    void refill(Bucket &bucket, TimePoint now) const;
    void scaleToCoverage(Bucket &bucket, double coverage) const;
    static void charge(Bucket &bucket, std::int64_t cost);
    double reserveForUrgent(const Bucket &bucket, std::uint64_t cost, PriorityRank rank, TimePoint now) const;

    bool isSmall(const Bucket &bucket, std::uint64_t cost, PriorityRank rank, TimePoint now) const;
    double urgentRate(const Bucket &bucket, PriorityRank rank, TimePoint now) const;
    Duration retryAfter(const Bucket &bucket, double reserved, PriorityRank rank, TimePoint now) const;

    /// A server with fewer entry VMs knows too little of the demand to scale it up.
    static constexpr double MinOwnShare = 0.05;

    const double m_tolerance;
    const bool m_isRanked;
    double m_ownShare = 1;
    double m_coverage = 0;
    bool m_spendsChangedSinceNotice = false;
    std::map<std::string, Bucket> m_buckets;
    std::map<VmName, Peer> m_peers;
};

}

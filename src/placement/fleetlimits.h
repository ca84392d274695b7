#pragma once

#include "common/types.h"
#include "placement/requestqueue.h"

#include "routing.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cumindyke
{

/// The limits of the organisations over all VMs, as a placement server keeps them: for each a bucket that the rate fills and admitted
/// requests empty. Pure: time is an argument.
///
/// Each server keeps the whole bucket: it charges what it admits itself at once, and what the others admit when their notices tell, some
/// milliseconds later. So below its limit an organisation is not refused, however unevenly its requests come, and a jump of its demand is
/// known everywhere within one notice. A server that hears only part of the others fills its buckets with only the part of the rate that
/// belongs to the entry VMs it knows of: servers that are cut off from each other can't spend the same tokens twice.
class FleetLimits
{
public:
    /// "tolerance": tokens (or requests) that may be admitted beyond each burst; the setting limit_slack.
    explicit FleetLimits(std::uint64_t tolerance)
        : m_tolerance(static_cast<double>(tolerance))
    {
    }

    /// The limits in force.
    void setRoutes(const v1::RouteTable &routes, TimePoint now);
    /// Part of all entry VMs, 0 to 1, whose admissions are known here. A smaller part takes its share of the levels with it.
    void setCoverage(double coverage, TimePoint now);
    /// What another server's process has admitted since its start, and what it takes the levels for.
    /// While nobody asks here, its levels are taken over.
    void handleNotice(const VmName &from, const v1::LoadNotice &notice, bool adoptLevels, TimePoint now);
    /// For notices: all that was admitted here if any of it changed, and by turns; the levels too if the receiver may have to go on from them.
    void writeNotice(v1::LoadNotice &notice, bool withLevels, TimePoint now);

    /// Admits the cost. None: admitted; otherwise how long until a request like it is likely to pass. While an organisation asks for more than its limit,
    /// requests of lower ranks leave a reserve to the more urgent ones.
    std::optional<Duration> tryAdmit(const std::string &organisation, std::uint64_t cost, PriorityRank rank, TimePoint now);
    /// Admitted, and refused after all for another reason.
    void refund(const std::string &organisation, std::uint64_t cost);
    /// How long no request of it can pass, unless something is given back.
    Duration timeUntilOpen(const std::string &organisation) const;
    /// What the last decision about the organisation was made from, for the log.
    std::string describeDecision(const std::string &organisation) const;

private:
    /// What is asked for a second, averaged over some seconds.
    struct DecayingRate
    {
        double ratePerSecond = 0;
        TimePoint updatedAt;

        void record(double cost, TimePoint now);
        double currentRate(TimePoint now) const;
    };
    struct Bucket
    {
        /// None: no limit.
        double rate = 0;
        double burst = 0;
        std::optional<double> level;
        /// What belongs to the VMs that are not covered; it comes back as they are heard of.
        double withheld = 0;
        TimePoint refilledAt;
        /// Admitted here since the start of the process.
        std::int64_t admitted = 0;
        /// Here and elsewhere.
        DecayingRate demand;
        /// Here.
        std::map<PriorityRank, DecayingRate> demandByRank;
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

    const double m_tolerance;
    double m_coverage = 0;
    /// Since the last notice.
    bool m_spendsChangedSinceNotice = false;
    std::map<std::string, Bucket> m_buckets;
    std::map<VmName, Peer> m_peers;
};

}

#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cumindyke
{

/// Admission under each organisation's limit over all VMs.
///
/// The leader holds one bucket an organisation and tells its level with each lease. Between two leases a VM counts on the rate, less what it
/// admitted itself, less what the other VMs are likely to have admitted. So below the limit nobody is refused, however unevenly the demand
/// is spread over the VMs. When the level is low, a VM may take only the part of it that its own demand is of the whole: then the VMs
/// together can't take much more than there is. A VM that hears no leader goes on by the same rule, with a level that is its part of the rate.
class OrganisationBuckets
{
public:
    /// The leader's newest levels, and the time they came.
    void takeFleet(const v1::FleetTally &fleet, TimePoint now);
    /// Admits the cost. None: admitted; otherwise how long until a request of this size is likely to pass.
    std::optional<Duration> take(const v1::RoutedOrganisation &organisation, std::uint64_t cost, TimePoint now);
    /// What the last decision about the organisation was made from, for the log.
    std::string inputs(const std::string &organisation, TimePoint now) const;
    /// What was asked for and admitted since the process started, for the next tally.
    void fillTally(v1::EntryTally &tally);

private:
    struct Bucket
    {
        std::uint64_t asked = 0;
        std::uint64_t admitted = 0;
        /// Admitted as of the tally that the level takes into account.
        std::uint64_t tallied = 0;
        /// Admitted as of each tally since, by its sequence. A level may be older than the newest tally: charged by that one, what was
        /// admitted between the two would be forgotten, and limits overrun by as much with every beat.
        std::map<std::uint64_t, std::uint64_t> admittedAt;
        std::optional<double> level;
        TimePoint levelAt;
        double fleetPerSecond = 0;
        /// Own demand, measured over the last whole interval.
        double ownPerSecond = 0;
        std::uint64_t askedBefore = 0;
    };

    double available(const Bucket &bucket, const v1::RoutedOrganisation &organisation, TimePoint now) const;

    std::map<std::string, Bucket> m_buckets;
    std::uint32_t m_entries = 1;
    std::optional<TimePoint> m_measured;
};

}

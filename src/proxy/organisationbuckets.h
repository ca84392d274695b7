#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cumindyke
{

/// This VM's part of each organisation's limit over all VMs.
///
/// The parts follow the demand: a VM that is asked for a third of what all VMs are asked for may admit a third of the rate. Every VM knows
/// the sum of the demand from the leader, at most one beat old, so the parts add up to the whole but for what demand moved within that beat.
/// A VM that hears no leader keeps its last part until its lease ends; the leader counts its demand for as long.
class OrganisationBuckets
{
public:
    /// The leader's newest sums, and the time they came.
    void takeFleet(const v1::FleetTally &fleet, TimePoint now);
    /// Takes the cost from the organisation's part. None: admitted; otherwise how long until this much will be free.
    std::optional<Duration> take(const v1::RoutedOrganisation &organisation, std::uint64_t cost, TimePoint now);
    /// What was asked for since the process started, for the next tally.
    void fillTally(v1::EntryTally &tally) const;

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filled;
        bool used = false;
        std::uint64_t asked = 0;
        /// Asked at the start of the present measuring interval, and per second in the one before.
        std::uint64_t askedBefore = 0;
        double ownPerSecond = 0;
        double fleetPerSecond = 0;
    };

    double partOf(const Bucket &bucket) const;

    std::map<std::string, Bucket> m_buckets;
    std::uint32_t m_entries = 1;
    TimePoint m_measured{};
};

}

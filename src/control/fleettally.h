#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cumindyke
{

/// An organisation's limit over all VMs, as a bucket that its rate fills and admitted requests empty. What VMs admitted on old knowledge
/// may take it below zero: then nothing more is admitted until the rate has made up for it, down to a quarter of a second of the rate.
class LimitBucket
{
public:
    /// "admitted": by all VMs since the last call.
    void advance(const v1::RoutedOrganisation &limit, std::uint64_t tolerance, std::uint64_t admitted, TimePoint now);
    double level() const
    {
        return m_level;
    }

private:
    double m_level = 0;
    std::optional<TimePoint> m_filled;
};

/// The leader's sums over what entry VMs tell with their beats: demand of each organisation, answers of each
/// version. Soft state: a new leader has the same sums again after one beat of each VM.
class FleetTallies
{
public:
    /// A VM's tally. An older process of the VM counts as gone.
    void take(const VmName &vm, std::uint64_t incarnation, const v1::EntryTally &tally, TimePoint now);
    /// The sums over the VMs heard of lately, and the levels of the organisations' limits. The tolerance is what may be admitted beyond them.
    v1::FleetTally fleet(const v1::RouteTable &routes, std::uint64_t tolerance, TimePoint now);
    /// Growth of all VMs' counts of a service's versions since the rollout that is watched began here, by version.
    std::map<std::string, v1::VersionCounts> versionsSince(const std::string &service, const std::string &mark);
    void reset()
    {
        *this = FleetTallies();
    }

private:
    using VersionKey = std::pair<std::string, std::string>;
    struct Vm
    {
        std::uint64_t incarnation = 0;
        std::string dataCentre;
        bool draining = false;
        TimePoint heard;
        /// Demand at earlier beats, oldest first, for the rate.
        std::deque<std::pair<TimePoint, std::map<std::string, std::uint64_t>>> demands;
        std::map<std::string, std::uint64_t> admitted;
        std::map<VersionKey, v1::VersionCounts> counts;
    };

    static void remember(Vm &vm, const v1::EntryTally &tally);
    void grow(Vm &vm, const v1::EntryTally &tally);
    std::map<std::string, double> askedPerSecond(TimePoint now) const;

    std::map<VmName, Vm> m_vms;
    /// What all VMs counted since this leader began, by service and version.
    std::map<VersionKey, v1::VersionCounts> m_totals;
    /// Admitted by all VMs since the organisation's bucket was advanced last.
    std::map<std::string, std::uint64_t> m_admitted;
    std::map<std::string, LimitBucket> m_buckets;
    /// The totals when each rollout was first looked at.
    std::map<std::string, std::map<std::string, v1::VersionCounts>> m_marks;
};

}

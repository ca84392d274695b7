#pragma once

#include "raft/core.h"

namespace cumindyke::raft
{

struct RepairOptions
{
    /// Voters wanted.
    std::size_t voters = 1;
    /// A lost voter goes while more than this many are left, also when nobody takes its place: with five voters and two lost for good, the
    /// loss of one more would stop the log; without the lost ones it takes two. 0: as many as "voters", none goes unreplaced.
    std::size_t leastVoters = 0;
    /// A member that was silent for so long is lost.
    Duration lostAfter = std::chrono::seconds(30);
    /// An offer of a VM to become a replica holds for so long.
    Duration offerHolds = std::chrono::seconds(5);
};

/// Decides on the leader which change of the members comes next, one at a time: a VM with a disk is added as a learner, promoted
/// when it has caught up, and only then is the lost voter removed. A voter that came back with an empty data folder becomes a learner at
/// once. A change is proposed only when the voters it needs were heard of, so that it can't get stuck half-way.
class Repair
{
public:
    explicit Repair(RepairOptions options)
        : m_options(options)
    {
    }

    /// A VM with a disk says that it holds no replica in use.
    void offered(const VmName &vm, std::uint64_t incarnation, TimePoint now);
    /// The members to change to, if a change is due.
    std::optional<v1::Membership> next(const Core &core, TimePoint now) const;

private:
    struct Offer
    {
        std::uint64_t incarnation = 0;
        TimePoint at;
    };

    bool lost(const Core &core, const std::string &member, TimePoint now) const;
    std::optional<std::string> lostVoter(const Core &core, TimePoint now) const;
    std::optional<v1::Membership> demoteBlank(const Core &core) const;
    std::optional<v1::Membership> promote(const Core &core, TimePoint now) const;
    std::optional<v1::Membership> removeSurplus(const Core &core, TimePoint now) const;
    std::optional<v1::Membership> mendLearners(const Core &core, TimePoint now) const;
    std::optional<v1::Membership> addLearner(const Core &core, TimePoint now) const;
    bool canCommit(const Core &core, const v1::Membership &next, TimePoint now) const;

    const RepairOptions m_options;
    std::map<VmName, Offer> m_offers;
};

}

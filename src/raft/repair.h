#pragma once

#include "raft/core.h"

namespace cumindyke::raft
{

struct MembershipRepairOptions
{
    /// Number of voters to maintain.
    std::size_t targetVoters = 1;
    /// A timed-out voter is removed without a replacement while there are more voters than this. With five voters and two of them gone for
    /// good, the loss of one more would stop the log; after their removal, it takes the loss of two more. 0: same as targetVoters, so no
    /// voter is removed before it is replaced.
    std::size_t minVoters = 0;
    /// A member that has sent no reply for this long has timed out.
    Duration memberTimeout = std::chrono::seconds(30);
    /// A VM's offer to become a replica expires after this time.
    Duration offerTimeout = std::chrono::seconds(5);
};

/// Runs on the leader and chooses the next membership change, one at a time: a VM with a disk is added as a learner and promoted when it
/// has caught up, and only then is the timed-out voter removed. A voter that restarted with an empty data folder becomes a learner at once.
/// A change is proposed only when a quorum of the voters it results in has replied recently, so that it can't get stuck half-way.
class MembershipRepair
{
public:
    explicit MembershipRepair(MembershipRepairOptions options)
        : m_options(options)
    {
    }

    /// Records the offer of a VM that has a disk and no active replica.
    void recordOffer(const VmName &vm, std::uint64_t incarnation, TimePoint now);
    /// Returns the next membership; empty if no change is due.
    std::optional<v1::Membership> nextChange(const Core &core, TimePoint now) const;

private:
    struct Offer
    {
        std::uint64_t incarnation = 0;
        TimePoint receivedAt;
    };

    bool isTimedOut(const Core &core, const std::string &member, TimePoint now) const;
    std::optional<std::string> timedOutVoter(const Core &core, TimePoint now) const;
    std::optional<v1::Membership> demoteWipedVoter(const Core &core) const;
    std::optional<v1::Membership> promoteLearner(const Core &core, TimePoint now) const;
    std::optional<v1::Membership> removeSurplusVoter(const Core &core, TimePoint now) const;
    std::optional<v1::Membership> updateLearners(const Core &core, TimePoint now) const;
    std::optional<v1::Membership> addLearner(const Core &core, TimePoint now) const;
    bool canCommit(const Core &core, const v1::Membership &next, TimePoint now) const;

    const MembershipRepairOptions m_options;
    std::map<VmName, Offer> m_offers;
};

}

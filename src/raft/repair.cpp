#include "raft/repair.h"

#include <algorithm>

namespace cumindyke::raft
{

namespace
{

/// A voter counts as reachable if its last reply is more recent than this.
constexpr Duration MaxReplyAge = std::chrono::milliseconds(750);

template<typename Names>
bool contains(const Names &names, const std::string &name)
{
    return std::ranges::find(names, name) != names.end();
}

template<typename Names>
void removeFrom(Names &names, const std::string &name)
{
    names.erase(std::remove(names.begin(), names.end(), name), names.end());
}

const Progress *progressOf(const Core &core, const std::string &member)
{
    const auto known = core.progress().find(VmName{member});
    return known == core.progress().end() ? nullptr : &known->second;
}

}

void MembershipRepair::recordOffer(const VmName &vm, std::uint64_t incarnation, TimePoint now)
{
    m_offers[vm] = Offer{.incarnation = incarnation, .receivedAt = now};
}

std::optional<v1::Membership> MembershipRepair::nextChange(const Core &core, TimePoint now) const
{
    if (core.role() != Core::Role::Leader || !core.membershipCommitted()) {
        return {};
    }
    std::optional<v1::Membership> change = demoteWipedVoter(core);
    change = change ? change : removeSurplusVoter(core, now);
    change = change ? change : promoteLearner(core, now);
    change = change ? change : updateLearners(core, now);
    change = change ? change : addLearner(core, now);
    if (!change || !canCommit(core, *change, now)) {
        return {};
    }
    return change;
}

bool MembershipRepair::isTimedOut(const Core &core, const std::string &member, TimePoint now) const
{
    const Progress *progress = progressOf(core, member);
    return progress && now - progress->lastReplyAt > m_options.memberTimeout;
}

std::optional<std::string> MembershipRepair::timedOutVoter(const Core &core, TimePoint now) const
{
    for (const std::string &voter : core.membership().voters()) {
        if (isTimedOut(core, voter, now)) {
            return voter;
        }
    }
    return {};
}

/// Makes a learner of a voter that has a new data folder. The promises made from the old folder are lost, so the voter may not vote until
/// it is promoted again.
std::optional<v1::Membership> MembershipRepair::demoteWipedVoter(const Core &core) const
{
    for (const std::string &voter : core.membership().voters()) {
        const Progress *progress = progressOf(core, voter);
        if (!progress || progress->admitted || progress->incarnation == 0) {
            continue;
        }
        v1::Membership next = core.membership();
        removeFrom(*next.mutable_voters(), voter);
        next.add_learners(voter);
        (*next.mutable_incarnations())[voter] = progress->incarnation;
        return next;
    }
    return {};
}

std::optional<v1::Membership> MembershipRepair::promoteLearner(const Core &core, TimePoint now) const
{
    const auto voters = static_cast<std::size_t>(core.membership().voters_size());
    if (voters > m_options.targetVoters || (voters == m_options.targetVoters && !timedOutVoter(core, now))) {
        return {};
    }
    for (const std::string &learner : core.membership().learners()) {
        const Progress *progress = progressOf(core, learner);
        const bool hasCaughtUp = progress && progress->admitted && progress->incarnation != 0 && progress->state == Progress::State::Replicate
            && now - progress->lastReplyAt < MaxReplyAge && progress->matchIndex + 1 >= core.commitIndex();
        if (!hasCaughtUp) {
            continue;
        }
        v1::Membership next = core.membership();
        removeFrom(*next.mutable_learners(), learner);
        next.add_voters(learner);
        return next;
    }
    return {};
}

std::optional<v1::Membership> MembershipRepair::removeSurplusVoter(const Core &core, TimePoint now) const
{
    const auto voters = static_cast<std::size_t>(core.membership().voters_size());
    const std::size_t minVoters = m_options.minVoters == 0 ? m_options.targetVoters : m_options.minVoters;
    std::optional<std::string> surplus = voters > minVoters ? timedOutVoter(core, now) : std::nullopt;
    if (!surplus && voters > m_options.targetVoters) {
        // A replaced voter is reachable again: remove the voter whose log is furthest behind.
        for (const auto &[member, progress] : core.progress()) {
            const bool isVoter = contains(core.membership().voters(), member.value);
            if (isVoter && (!surplus || progress.matchIndex < progressOf(core, *surplus)->matchIndex)) {
                surplus = member.value;
            }
        }
    }
    if (!surplus) {
        return {};
    }
    v1::Membership next = core.membership();
    removeFrom(*next.mutable_voters(), *surplus);
    next.mutable_incarnations()->erase(*surplus);
    return next;
}

/// Removes a timed-out learner, and records the new incarnation of a learner that lost its data folder again.
std::optional<v1::Membership> MembershipRepair::updateLearners(const Core &core, TimePoint now) const
{
    for (const std::string &learner : core.membership().learners()) {
        const Progress *progress = progressOf(core, learner);
        v1::Membership next = core.membership();
        if (isTimedOut(core, learner, now)) {
            removeFrom(*next.mutable_learners(), learner);
            next.mutable_incarnations()->erase(learner);
            return next;
        }
        std::uint64_t &recorded = (*next.mutable_incarnations())[learner];
        if (progress && progress->incarnation != 0 && !progress->admitted && progress->incarnation != recorded) {
            recorded = progress->incarnation;
            return next;
        }
    }
    return {};
}

std::optional<v1::Membership> MembershipRepair::addLearner(const Core &core, TimePoint now) const
{
    const bool needsLearner = static_cast<std::size_t>(core.membership().voters_size()) < m_options.targetVoters || timedOutVoter(core, now);
    if (!needsLearner || core.membership().learners_size() > 0) {
        return {};
    }
    for (const auto &[vm, offer] : m_offers) {
        if (now - offer.receivedAt > m_options.offerTimeout || contains(core.membership().voters(), vm.value)) {
            continue;
        }
        v1::Membership next = core.membership();
        next.add_learners(vm.value);
        (*next.mutable_incarnations())[vm.value] = offer.incarnation;
        return next;
    }
    return {};
}

bool MembershipRepair::canCommit(const Core &core, const v1::Membership &next, TimePoint now) const
{
    int reachable = 0;
    for (const std::string &voter : next.voters()) {
        const Progress *progress = progressOf(core, voter);
        const bool isSelf = !progress;
        reachable += isSelf || now - progress->lastReplyAt < MaxReplyAge ? 1 : 0;
    }
    return reachable > next.voters_size() / 2;
}

}

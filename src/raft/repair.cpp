#include "raft/repair.h"

#include <algorithm>

namespace cumindyke::raft
{

namespace
{

/// A voter that is needed for a change must have answered this recently.
constexpr Duration RecentReply = std::chrono::milliseconds(750);

template<typename Names>
bool holds(const Names &names, const std::string &name)
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

void Repair::offered(const VmName &vm, std::uint64_t incarnation, TimePoint now)
{
    m_offers[vm] = Offer{.incarnation = incarnation, .at = now};
}

std::optional<v1::Membership> Repair::next(const Core &core, TimePoint now) const
{
    if (core.role() != Core::Role::Leader || !core.membershipCommitted()) {
        return {};
    }
    std::optional<v1::Membership> change = demoteBlank(core);
    change = change ? change : removeSurplus(core, now);
    change = change ? change : promote(core, now);
    change = change ? change : mendLearners(core, now);
    change = change ? change : addLearner(core, now);
    if (!change || !canCommit(core, *change, now)) {
        return {};
    }
    return change;
}

bool Repair::lost(const Core &core, const std::string &member, TimePoint now) const
{
    const Progress *progress = progressOf(core, member);
    return progress && now - progress->lastReply > m_options.lostAfter;
}

std::optional<std::string> Repair::lostVoter(const Core &core, TimePoint now) const
{
    for (const std::string &voter : core.membership().voters()) {
        if (lost(core, voter, now)) {
            return voter;
        }
    }
    return {};
}

/// What the old folder had promised is forgotten, so the voter may not vote: it comes back by way of a learner.
std::optional<v1::Membership> Repair::demoteBlank(const Core &core) const
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

std::optional<v1::Membership> Repair::promote(const Core &core, TimePoint now) const
{
    const auto voters = static_cast<std::size_t>(core.membership().voters_size());
    if (voters > m_options.voters || (voters == m_options.voters && !lostVoter(core, now))) {
        return {};
    }
    for (const std::string &learner : core.membership().learners()) {
        const Progress *progress = progressOf(core, learner);
        const bool caughtUp = progress && progress->admitted && progress->incarnation != 0 && progress->state == Progress::State::Replicate
            && now - progress->lastReply < RecentReply && progress->match + 1 >= core.commit();
        if (!caughtUp) {
            continue;
        }
        v1::Membership next = core.membership();
        removeFrom(*next.mutable_learners(), learner);
        next.add_voters(learner);
        return next;
    }
    return {};
}

std::optional<v1::Membership> Repair::removeSurplus(const Core &core, TimePoint now) const
{
    const auto voters = static_cast<std::size_t>(core.membership().voters_size());
    const std::size_t least = m_options.leastVoters == 0 ? m_options.voters : m_options.leastVoters;
    std::optional<std::string> surplus = voters > least ? lostVoter(core, now) : std::nullopt;
    if (!surplus && voters > m_options.voters) {
        // The voter that was replaced is back: the one that is furthest behind goes.
        for (const auto &[member, progress] : core.progress()) {
            const bool voter = holds(core.membership().voters(), member.value);
            if (voter && (!surplus || progress.match < progressOf(core, *surplus)->match)) {
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

/// A lost learner goes; one that lost its data folder again is admitted anew.
std::optional<v1::Membership> Repair::mendLearners(const Core &core, TimePoint now) const
{
    for (const std::string &learner : core.membership().learners()) {
        const Progress *progress = progressOf(core, learner);
        v1::Membership next = core.membership();
        if (lost(core, learner, now)) {
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

std::optional<v1::Membership> Repair::addLearner(const Core &core, TimePoint now) const
{
    const bool wanted = static_cast<std::size_t>(core.membership().voters_size()) < m_options.voters || lostVoter(core, now);
    if (!wanted || core.membership().learners_size() > 0) {
        return {};
    }
    for (const auto &[vm, offer] : m_offers) {
        if (now - offer.at > m_options.offerHolds || holds(core.membership().voters(), vm.value)) {
            continue;
        }
        v1::Membership next = core.membership();
        next.add_learners(vm.value);
        (*next.mutable_incarnations())[vm.value] = offer.incarnation;
        return next;
    }
    return {};
}

bool Repair::canCommit(const Core &core, const v1::Membership &next, TimePoint now) const
{
    int heard = 0;
    for (const std::string &voter : next.voters()) {
        const Progress *progress = progressOf(core, voter);
        const bool self = !progress;
        heard += self || now - progress->lastReply < RecentReply ? 1 : 0;
    }
    return heard > next.voters_size() / 2;
}

}

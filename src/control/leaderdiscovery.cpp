#include "control/leaderdiscovery.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cumindyke
{

namespace
{

/// Several times the number of VMs of the largest system.
constexpr std::size_t MaxDeferredHeartbeats = 2000;
/// A VM that lost everything waits for one announcement in the worst case. 7 voters and 3 seeds that are no members cost the fleet 21 messages a second.
constexpr Duration AnnouncementInterval = std::chrono::seconds(1);

std::vector<VmName> toVmNames(const google::protobuf::RepeatedPtrField<std::string> &strings)
{
    std::vector<VmName> names;
    for (const std::string &string : strings) {
        names.push_back(VmName{string});
    }
    return names;
}

}

LeaderDiscovery::LeaderDiscovery(LeaderDiscoveryOptions options)
    : m_options(std::move(options))
    , m_seeds(m_options.seeds)
    , m_search(m_options.candidates, m_options.vm)
    , m_schedule(m_options.usesDatagrams)
{
}

bool LeaderDiscovery::isHeartbeatDue(TimePoint now)
{
    if (!m_schedule.mustAskNextCandidate(now)) {
        return m_schedule.isDue(now);
    }
    m_search.onNoReply(m_search.leader());
    m_schedule.onNextCandidateAsked(now);
    m_hintFollowed = false;
    return true;
}

bool LeaderDiscovery::handleRefusal(const v1::ConfigLease &refusal, TimePoint now)
{
    const bool isAnnouncement = refusal.beat() == 0;
    if (!isAnnouncement) {
        m_schedule.onReply();
    }
    const VmName previousLeader = m_search.leader();
    const bool isNewerTerm = refusal.leader_term() > m_search.newestTerm();
    m_search.setReplicas(toVmNames(refusal.replicas()), {.term = refusal.replicas_term(), .index = refusal.replicas_index()});
    m_search.onLeaderHint(VmName{refusal.leader()}, refusal.leader_term());
    if (m_search.leader() == previousLeader) {
        return false;
    }
    // A hint is followed at once, but only one: a chain of hints that leads nowhere must not delay the next candidate. Terms only grow, so
    // hints of newer terms form no such chain.
    if (std::exchange(m_hintFollowed, true) && !isNewerTerm) {
        return false;
    }
    m_schedule.onNextCandidateAsked(now);
    return true;
}

void LeaderDiscovery::handleGrant(const VmName &from, const v1::ConfigLease &lease, TimePoint now)
{
    m_schedule.onReply();
    m_search.onLeaderReply(from, lease.leader_term());
    m_hintFollowed = false;
    m_search.setReplicas(toVmNames(lease.replicas()), {.term = lease.replicas_term(), .index = lease.replicas_index()});
    m_schedule.onLeaseGranted(now);
}

void LeaderDiscovery::setSeeds(const std::vector<VmName> &seeds)
{
    m_search.setCandidates(seeds);
    m_seeds = seeds.empty() ? m_seeds : seeds;
}

void LeaderDiscovery::setFollowedLeader(const std::optional<VmName> &leader, raft::Term term)
{
    m_followedLeader = leader;
    m_search.setFollowedLeader(leader, term);
    if (leader) {
        m_search.onLeaderHint(*leader, term);
        m_nextAnnouncementAt = TimePoint::min();
    }
}

void LeaderDiscovery::setMembership(const v1::Membership &membership, raft::LogPosition position)
{
    const std::vector<VmName> voters = toVmNames(membership.voters());
    const std::vector<VmName> learners = toVmNames(membership.learners());
    m_members = {voters.begin(), voters.end()};
    m_members.insert(learners.begin(), learners.end());
    m_search.setReplicas(voters, position);
}

std::vector<VmName> LeaderDiscovery::seedsToTell(TimePoint now)
{
    std::vector<VmName> seeds;
    // A replica that is no member may follow a leader that ended long ago, by a message that was late.
    if (!m_followedLeader || now < m_nextAnnouncementAt || !m_members.contains(m_options.vm)) {
        return seeds;
    }
    m_nextAnnouncementAt = now + AnnouncementInterval;
    std::ranges::copy_if(m_seeds, std::back_inserter(seeds), [this](const VmName &seed) { return seed != m_options.vm && !m_members.contains(seed); });
    return seeds;
}

v1::ConfigLease LeaderDiscovery::announcementFor(const VmName &seed) const
{
    v1::ConfigLease announcement = knowledgeFor(seed);
    announcement.set_leader(m_search.hint().value_or(VmName{}).value);
    return announcement;
}

/// Returns a refusal with what this VM knows: the leader and its term, and the newest voters.
v1::ConfigLease LeaderDiscovery::knowledgeFor(const VmName &vm) const
{
    v1::ConfigLease refusal;
    const VmName leader = leaderFor(vm);
    refusal.set_leader(leader.value);
    refusal.set_leader_term(m_search.hint() ? m_search.hintTerm() : 0);
    for (const VmName &replica : m_search.replicas()) {
        refusal.add_replicas(replica.value);
    }
    refusal.set_replicas_term(m_search.replicasPosition().term);
    refusal.set_replicas_index(m_search.replicasPosition().index);
    return refusal;
}

VmName LeaderDiscovery::leaderFor(const VmName &vm) const
{
    const VmName leader = m_search.hint().value_or(VmName{});
    return leader == vm || leader == m_options.vm ? VmName{} : leader;
}

v1::ConfigLease LeaderDiscovery::refuse(const VmName &from, const v1::ConfigHeartbeat &heartbeat)
{
    v1::ConfigLease refusal = knowledgeFor(from);
    refusal.set_beat(heartbeat.beat());
    if (refusal.leader().empty() && m_options.hasReplica && m_deferred.size() < MaxDeferredHeartbeats) {
        m_deferred[from] = heartbeat;
    }
    return refusal;
}

std::map<VmName, v1::ConfigHeartbeat> LeaderDiscovery::takeAnswerable(bool isLeading)
{
    const VmName leader = leaderFor(m_options.vm);
    if (!isLeading && leader.value.empty()) {
        return {};
    }
    // The leader itself needs no hint, and would be refused without one again.
    m_deferred.erase(leader);
    return std::exchange(m_deferred, {});
}

}

#include "control/leaderdiscovery.h"

#include <utility>

namespace cumindyke
{

namespace
{

/// Several times the number of VMs of the largest system.
constexpr std::size_t MaxDeferredHeartbeats = 2000;

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
    , m_search(m_options.candidates)
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
    m_schedule.onReply();
    const VmName previousLeader = m_search.leader();
    m_search.onLeaderHint(VmName{refusal.leader()});
    // A hint is followed at once, but only one: a chain of hints that leads nowhere must not delay the next candidate.
    if (m_search.leader() == previousLeader || std::exchange(m_hintFollowed, true)) {
        return false;
    }
    m_schedule.onNextCandidateAsked(now);
    return true;
}

void LeaderDiscovery::handleGrant(const VmName &from, const v1::ConfigLease &lease, TimePoint now)
{
    m_schedule.onReply();
    m_search.onLeaderReply(from);
    m_hintFollowed = false;
    m_search.setReplicas(toVmNames(lease.replicas()));
    m_schedule.onLeaseGranted(now);
}

void LeaderDiscovery::setFollowedLeader(const std::optional<VmName> &leader)
{
    m_search.setFollowedLeader(leader);
    if (leader) {
        m_search.onLeaderHint(*leader);
    }
}

VmName LeaderDiscovery::leaderFor(const VmName &vm) const
{
    const VmName leader = m_search.hint().value_or(VmName{});
    return leader == vm || leader == m_options.vm ? VmName{} : leader;
}

v1::ConfigLease LeaderDiscovery::refuse(const VmName &from, const v1::ConfigHeartbeat &heartbeat)
{
    v1::ConfigLease refusal;
    refusal.set_beat(heartbeat.beat());
    refusal.set_leader(leaderFor(from).value);
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

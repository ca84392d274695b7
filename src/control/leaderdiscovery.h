#pragma once

#include "control/heartbeatschedule.h"
#include "control/leadersearch.h"

#include "control.pb.h"

#include <map>
#include <set>

namespace cumindyke
{

struct LeaderDiscoveryOptions
{
    VmName vm;
    /// Every VM that may lead or know the leader, the likeliest first; at least one.
    std::vector<VmName> candidates;
    /// The VMs that the settings name for the search of the leader; other VMs ask them too.
    std::vector<VmName> seeds = {};
    /// Heartbeats go by datagrams, which may be lost.
    bool usesDatagrams = false;
    /// This VM has a replica of the log, and so will learn of a leader: it keeps the heartbeats that it can't answer yet.
    bool hasReplica = false;
};

/// How a VM finds the leader of the control replicas and helps others to find it: which VM gets the next heartbeat and when, and what is replied to
/// heartbeats while another VM leads. Pure: time is an argument.
class LeaderDiscovery
{
public:
    explicit LeaderDiscovery(LeaderDiscoveryOptions options);

    /// Peers can reach this VM from now on: the first heartbeat is due.
    void start(TimePoint now)
    {
        m_schedule.start(now);
    }
    const VmName &leader() const
    {
        return m_search.leader();
    }
    LeaderSearch &search()
    {
        return m_search;
    }

    /// Returns whether a heartbeat to leader() is due. If the presumed leader granted no lease for too long, the next candidate is presumed to lead.
    bool isHeartbeatDue(TimePoint now);
    void onHeartbeatSent(TimePoint now)
    {
        m_schedule.onSent(now);
    }
    /// Handles a reply of a VM that grants no lease and may name the leader, or an announcement. Returns whether a heartbeat to leader() is due at once.
    bool handleRefusal(const v1::ConfigLease &refusal, TimePoint now);
    /// Handles a lease that the leader granted.
    void handleGrant(const VmName &from, const v1::ConfigLease &lease, TimePoint now);
    /// Schedules a burst of heartbeats after the first lease.
    void startBurst(TimePoint now)
    {
        m_schedule.startBurst(now);
    }

    /// Replaces the seeds after a change of the settings, unless the list is empty.
    void setSeeds(const std::vector<VmName> &seeds);
    /// Sets the leader that this VM's replica follows, or that it follows none.
    void setFollowedLeader(const std::optional<VmName> &leader, raft::Term term);
    /// Sets the newest membership in this VM's log, whose last entry has the given position. After a restart, its voters are the only other VMs besides
    /// the seeds that this VM knows.
    void setMembership(const v1::Membership &membership, raft::LogPosition position);
    /// Returns the seeds that are due for an announcement of the leader that this VM's replica follows. Those that are members follow it too. The
    /// others have no reason to know it, and all VMs that restart ask only them.
    std::vector<VmName> seedsToTell(TimePoint now);
    v1::ConfigLease announcementFor(const VmName &seed) const;

    /// Returns the reply to a heartbeat while another VM leads. A heartbeat that names no leader is kept until one is known.
    v1::ConfigLease refuse(const VmName &from, const v1::ConfigHeartbeat &heartbeat);
    /// Returns the leader to name to a VM; empty if none is known, or if it would be the requesting VM or this one.
    VmName leaderFor(const VmName &vm) const;
    /// Returns the kept heartbeats once a leader is known, which may be this VM. Without them, their VMs would ask again only after their search has
    /// gone round, refusing every caller for a quarter of a second longer. A lease counts from the heartbeat, so an old heartbeat does no harm.
    std::map<VmName, v1::ConfigHeartbeat> takeAnswerable(bool isLeading);

private:
    v1::ConfigLease knowledgeFor(const VmName &vm) const;

    const LeaderDiscoveryOptions m_options;
    std::vector<VmName> m_seeds;
    LeaderSearch m_search;
    HeartbeatSchedule m_schedule;
    /// Whether a hint was followed since another candidate was asked or since the last lease.
    bool m_hintFollowed = false;
    /// The last heartbeat of each VM to which this VM could neither grant a lease nor name a leader.
    std::map<VmName, v1::ConfigHeartbeat> m_deferred;
    std::optional<VmName> m_followedLeader;
    /// Voters and learners in the own log.
    std::set<VmName> m_members;
    TimePoint m_nextAnnouncementAt = TimePoint::min();
};

}

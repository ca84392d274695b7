#pragma once

#include "common/types.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <vector>

namespace cumindyke
{

/// Tracks which VM is presumed to lead the control replicas: the leader that the own replica follows, otherwise the last hint, otherwise the
/// candidates in turn.
class LeaderSearch
{
public:
    /// candidates: every VM that may lead or know the leader, the likeliest first; at least one.
    explicit LeaderSearch(std::vector<VmName> candidates)
        : m_candidates(std::move(candidates))
        , m_presumedLeader(m_candidates.front())
    {
    }

    const VmName &leader() const
    {
        return m_followedLeader ? *m_followedLeader : m_presumedLeader;
    }

    /// Sets the voting replicas as the last leader named them. They are asked before the candidates of the settings, which may all be cut off or
    /// removed.
    void setReplicas(const std::vector<VmName> &replicas)
    {
        m_replicas = replicas;
    }

    /// Sets the leader that this VM's replica follows, or that it follows none. A leader need not be among the candidates. Without this call,
    /// replicas that have no reply yet to their heartbeats would send each other, and every VM that asks them, round the candidates for ever.
    void setFollowedLeader(const std::optional<VmName> &leader)
    {
        m_followedLeader = leader;
    }

    /// Replaces the candidates unless the list is empty. The VM that is presumed to lead stays until it does not reply.
    void setCandidates(std::vector<VmName> candidates)
    {
        if (!candidates.empty()) {
            m_candidates = std::move(candidates);
        }
    }

    /// Handles a hint of another VM that names the leader.
    void onLeaderHint(const VmName &leader)
    {
        if (!leader.value.empty()) {
            m_presumedLeader = leader;
        }
    }

    /// Handles a reply of the leader itself.
    void onLeaderReply(const VmName &leader)
    {
        m_presumedLeader = leader;
        m_isConfirmed = true;
    }

    /// Returns the leader to name to other VMs, if it is known. A guess is not passed on: two VMs that guess each other would send every other VM to
    /// and fro.
    std::optional<VmName> hint() const
    {
        return m_followedLeader || m_isConfirmed ? std::optional(leader()) : std::nullopt;
    }

    /// Handles a request to the presumed leader that got no reply: the next candidate is presumed to lead.
    void onNoReply(const VmName &target)
    {
        if (target != leader()) {
            return;
        }
        m_isConfirmed = false;
        std::vector<VmName> all = m_replicas;
        std::ranges::copy_if(m_candidates, std::back_inserter(all), [this](const VmName &vm) { return std::ranges::find(m_replicas, vm) == m_replicas.end(); });
        auto next = std::ranges::find(all, m_presumedLeader);
        if (next != all.end()) {
            ++next;
        }
        m_presumedLeader = next == all.end() ? all.front() : *next;
    }

private:
    std::vector<VmName> m_candidates;
    std::vector<VmName> m_replicas;
    VmName m_presumedLeader;
    std::optional<VmName> m_followedLeader;
    bool m_isConfirmed = false;
};

}

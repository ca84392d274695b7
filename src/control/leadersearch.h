#pragma once

#include "raft/types.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <vector>

namespace cumindyke
{

/// Tracks which VM is presumed to lead the control replicas: the leader that the own replica follows, otherwise the last hint, otherwise the
/// candidates in turn. docs/design/finding-the-leader.md.
class LeaderSearch
{
public:
    /// candidates: every VM that may lead or know the leader, the likeliest first; at least one. self: this VM, which is asked only if there is no
    /// other candidate.
    explicit LeaderSearch(std::vector<VmName> candidates, VmName self = {})
        : m_self(std::move(self))
        , m_candidates(std::move(candidates))
        , m_presumedLeader(m_candidates.front())
    {
        if (m_presumedLeader == m_self) {
            m_presumedLeader = nextCandidate();
        }
    }

    const VmName &leader() const
    {
        return followsNewestLeader() ? *m_followedLeader : m_presumedLeader;
    }

    /// Sets the voting replicas as a log up to the given position names them; ignored if a more up-to-date log named others. They are asked before the
    /// candidates of the settings, which may all be cut off or removed.
    void setReplicas(const std::vector<VmName> &replicas, raft::LogPosition position = {})
    {
        if (!replicas.empty() && position >= m_replicasPosition) {
            m_replicas = replicas;
            m_replicasPosition = position;
        }
    }
    const std::vector<VmName> &replicas() const
    {
        return m_replicas;
    }
    raft::LogPosition replicasPosition() const
    {
        return m_replicasPosition;
    }

    /// Sets the leader that this VM's replica follows, or that it follows none. A leader need not be among the candidates. Without this call,
    /// replicas that have no reply yet to their heartbeats would send each other, and every VM that asks them, round the candidates for ever.
    void setFollowedLeader(const std::optional<VmName> &leader, raft::Term term = 0)
    {
        m_followedLeader = leader;
        m_followedTerm = term;
    }

    /// Replaces the candidates unless the list is empty. The VM that is presumed to lead stays until it does not reply.
    void setCandidates(std::vector<VmName> candidates)
    {
        if (!candidates.empty()) {
            m_candidates = std::move(candidates);
        }
    }

    /// Handles a hint of another VM that names the leader of a term; 0 if the term is unknown. A leader of an earlier term than the newest known one
    /// has been replaced.
    void onLeaderHint(const VmName &leader, raft::Term term = 0)
    {
        if (leader.value.empty() || (term != 0 && term < m_leaderTerm)) {
            return;
        }
        m_leaderTerm = std::max(m_leaderTerm, term);
        if (leader != m_presumedLeader) {
            // Otherwise a candidate that always names the same silent VM would be asked again and again, and the others never.
            recordAsked(m_presumedLeader);
            m_presumedLeader = leader;
            m_isConfirmed = false;
        }
    }

    /// Handles a reply of the leader itself.
    void onLeaderReply(const VmName &leader, raft::Term term = 0)
    {
        m_presumedLeader = leader;
        m_leaderTerm = term != 0 ? term : m_leaderTerm;
        m_isConfirmed = true;
    }

    /// Returns the leader to name to other VMs, if it is known. A guess is not passed on: two VMs that guess each other would send every other VM to
    /// and fro.
    std::optional<VmName> hint() const
    {
        return followsNewestLeader() || m_isConfirmed ? std::optional(leader()) : std::nullopt;
    }
    /// Returns the term of hint(); 0 if unknown.
    raft::Term hintTerm() const
    {
        return followsNewestLeader() ? m_followedTerm : m_leaderTerm;
    }
    /// Returns the newest term of which a leader is known; 0 if none is.
    raft::Term newestTerm() const
    {
        return m_followedLeader ? std::max(m_followedTerm, m_leaderTerm) : m_leaderTerm;
    }

    /// Handles a request to the presumed leader that got no reply: the next candidate is presumed to lead.
    void onNoReply(const VmName &target)
    {
        if (target != leader()) {
            return;
        }
        m_isConfirmed = false;
        recordAsked(target);
        m_presumedLeader = nextCandidate();
    }

private:
    bool followsNewestLeader() const
    {
        return m_followedLeader && m_followedTerm >= m_leaderTerm;
    }

    void recordAsked(const VmName &vm)
    {
        m_askedAt[vm] = ++m_askedCount;
    }

    /// Returns the candidate that was not asked for the longest time, so that each is asked, whatever was hinted and however the lists changed in
    /// between.
    VmName nextCandidate()
    {
        std::vector<VmName> all = m_replicas;
        std::ranges::copy_if(m_candidates, std::back_inserter(all), [this](const VmName &vm) { return std::ranges::find(m_replicas, vm) == m_replicas.end(); });
        std::erase_if(m_askedAt, [&all](const auto &asked) { return std::ranges::find(all, asked.first) == all.end(); });
        if (all.size() > 1) {
            std::erase(all, m_self);
        }
        const auto askedAt = [this](const VmName &vm) {
            const auto known = m_askedAt.find(vm);
            return known == m_askedAt.end() ? 0 : known->second;
        };
        return *std::ranges::min_element(all, {}, askedAt);
    }

    const VmName m_self;
    std::vector<VmName> m_candidates;
    std::vector<VmName> m_replicas;
    raft::LogPosition m_replicasPosition;
    VmName m_presumedLeader;
    /// The newest term that a hint or a lease named.
    raft::Term m_leaderTerm = 0;
    std::optional<VmName> m_followedLeader;
    raft::Term m_followedTerm = 0;
    bool m_isConfirmed = false;
    /// When each candidate was last asked, as a running number.
    std::map<VmName, std::uint64_t> m_askedAt;
    std::uint64_t m_askedCount = 0;
};

}

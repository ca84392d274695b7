#pragma once

#include "common/types.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <vector>

namespace cumindyke
{

/// Whom a VM takes for the leader of the control replicas: the leader that its own replica follows, or else the last hint, or else the
/// candidates in turn.
class LeaderSearch
{
public:
    /// Every VM that may lead or know who does, the likeliest first; at least one.
    explicit LeaderSearch(std::vector<VmName> candidates)
        : m_candidates(std::move(candidates))
        , m_asked(m_candidates.front())
    {
    }

    const VmName &leader() const
    {
        return m_followed ? *m_followed : m_asked;
    }

    /// The voting replicas, as the last leader named them: asked before the candidates of the settings, which may all be cut off or gone.
    void learnedReplicas(const std::vector<VmName> &replicas)
    {
        m_replicas = replicas;
    }

    /// The leader that this VM's replica hears, or that it hears none. A leader need not be among the candidates; without this, replicas
    /// whose beats it has not answered yet would send each other, and every VM that asks them, round the candidates for ever.
    void followed(const std::optional<VmName> &leader)
    {
        m_followed = leader;
    }

    /// At least one; the VM that is asked at present stays until it gives no answer.
    void setCandidates(std::vector<VmName> candidates)
    {
        if (!candidates.empty()) {
            m_candidates = std::move(candidates);
        }
    }

    /// Somebody named the leader.
    void learned(const VmName &leader)
    {
        if (!leader.value.empty()) {
            m_asked = leader;
        }
    }

    /// The leader itself answered.
    void answered(const VmName &leader)
    {
        m_asked = leader;
        m_sure = true;
    }

    /// What others that ask may be told. A VM that only guesses says nothing: two that guess each other would send everybody to and fro.
    std::optional<VmName> hint() const
    {
        return m_followed || m_sure ? std::optional(leader()) : std::nullopt;
    }

    /// The VM that was asked gave no answer: the next candidate is asked.
    void gaveNoAnswer(const VmName &asked)
    {
        if (asked != leader()) {
            return;
        }
        m_sure = false;
        std::vector<VmName> all = m_replicas;
        std::ranges::copy_if(m_candidates, std::back_inserter(all), [this](const VmName &vm) { return std::ranges::find(m_replicas, vm) == m_replicas.end(); });
        auto next = std::ranges::find(all, m_asked);
        if (next != all.end()) {
            ++next;
        }
        m_asked = next == all.end() ? all.front() : *next;
    }

private:
    std::vector<VmName> m_candidates;
    std::vector<VmName> m_replicas;
    VmName m_asked;
    std::optional<VmName> m_followed;
    bool m_sure = false;
};

}

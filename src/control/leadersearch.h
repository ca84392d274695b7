#pragma once

#include "common/types.h"

#include <algorithm>
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

    /// Somebody named the leader, or the leader itself answered.
    void learned(const VmName &leader)
    {
        if (!leader.value.empty()) {
            m_asked = leader;
        }
    }

    /// The VM that was asked gave no answer: the next candidate is asked.
    void gaveNoAnswer(const VmName &asked)
    {
        if (asked != leader()) {
            return;
        }
        auto next = std::ranges::find(m_candidates, m_asked);
        if (next != m_candidates.end()) {
            ++next;
        }
        m_asked = next == m_candidates.end() ? m_candidates.front() : *next;
    }

private:
    std::vector<VmName> m_candidates;
    VmName m_asked;
    std::optional<VmName> m_followed;
};

}

#include "proxy/pathmonitor.h"

#include <algorithm>

namespace cumindyke
{

void PathMonitor::recordConnected(const Address &upstream, TimePoint now)
{
    m_weight = 0;
    m_connectedAt = now;
    m_lastReached = upstream;
    recordOutcome(upstream, true, now);
}

void PathMonitor::recordFailure(const Address &upstream, ConnectFailure failure, TimePoint startedAt, TimePoint now)
{
    recordOutcome(upstream, false, now);
    if (startedAt >= m_connectedAt) {
        m_weight = std::min(m_weight + (failure == ConnectFailure::Refused ? RefusedWeight : TimedOutWeight), LostWeight);
    }
}

void PathMonitor::recordOutcome(const Address &upstream, bool isConnected, TimePoint now)
{
    if (!isConnected) {
        std::erase_if(m_outcomes, [now](const auto &pair) { return now - pair.second.at > OutcomeLifetime; });
    }
    m_outcomes[upstream] = Outcome{.isConnected = isConnected, .at = now};
}

bool PathMonitor::isMostLost(TimePoint now) const
{
    std::size_t lost = 0;
    std::size_t connected = 0;
    for (const auto &[upstream, outcome] : m_outcomes) {
        if (now - outcome.at <= OutcomeLifetime) {
            (outcome.isConnected ? connected : lost) += 1;
        }
    }
    return lost >= MinLostUpstreams && lost > connected;
}

bool PathMonitor::isLostTo(const Address &upstream, TimePoint now) const
{
    if (isAllLost()) {
        return true;
    }
    const auto outcome = m_outcomes.find(upstream);
    return outcome != m_outcomes.end() && !outcome->second.isConnected && isMostLost(now);
}

std::vector<Address> PathMonitor::probeTargets(TimePoint now) const
{
    std::vector<std::pair<TimePoint, Address>> lost;
    for (const auto &[upstream, outcome] : m_outcomes) {
        if (!outcome.isConnected && now - outcome.at <= OutcomeLifetime) {
            lost.emplace_back(outcome.at, upstream);
        }
    }
    // The probe renews an outcome, so the oldest first are probed in turn.
    std::ranges::sort(lost);
    lost.resize(std::min(lost.size(), MaxProbeTargets));
    std::vector<Address> targets;
    if (!m_lastReached.host.empty() && isAllLost()) {
        targets.push_back(m_lastReached);
    }
    for (const auto &[at, upstream] : lost) {
        if (upstream != m_lastReached) {
            targets.push_back(upstream);
        }
    }
    return targets;
}

}

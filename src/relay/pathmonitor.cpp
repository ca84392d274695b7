#include "relay/pathmonitor.h"

#include <algorithm>

namespace cumindyke
{

void PathMonitor::recordConnected(const Address &upstream, TimePoint now)
{
    m_weight = 0;
    m_connectedAt = now;
    m_lastReached = upstream;
    m_lost.erase(upstream);
    m_reached[upstream] = now;
    if (m_reached.size() > MaxReached) {
        removeOutdated(now);
    }
}

void PathMonitor::recordFailure(const Address &upstream, ConnectFailure failure, TimePoint startedAt, TimePoint now)
{
    m_reached.erase(upstream);
    m_lost[upstream] = now;
    removeOutdated(now);
    if (startedAt >= m_connectedAt) {
        m_weight = std::min(m_weight + (failure == ConnectFailure::Refused ? RefusedWeight : TimedOutWeight), LostWeight);
    }
}

void PathMonitor::removeOutdated(TimePoint now)
{
    const auto isOutdated = [now](const auto &pair) { return now - pair.second > OutcomeLifetime; };
    std::erase_if(m_lost, isOutdated);
    std::erase_if(m_reached, isOutdated);
}

bool PathMonitor::isMostLost(TimePoint now) const
{
    // Nearly always true; then nothing is counted at a request.
    if (m_lost.size() < MinLostUpstreams) {
        return false;
    }
    const auto isRecent = [now](const auto &pair) { return now - pair.second <= OutcomeLifetime; };
    const auto lost = static_cast<std::size_t>(std::ranges::count_if(m_lost, isRecent));
    return lost >= MinLostUpstreams && lost > static_cast<std::size_t>(std::ranges::count_if(m_reached, isRecent));
}

bool PathMonitor::isLostTo(const Address &upstream, TimePoint now) const
{
    return isAllLost() || (m_lost.contains(upstream) && isMostLost(now));
}

std::vector<Address> PathMonitor::probeTargets(TimePoint now) const
{
    std::vector<std::pair<TimePoint, Address>> lost;
    for (const auto &[upstream, at] : m_lost) {
        if (now - at <= OutcomeLifetime) {
            lost.emplace_back(at, upstream);
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

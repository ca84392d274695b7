#pragma once

#include "common/types.h"

#include <algorithm>
#include <vector>

namespace cumindyke
{

/// How a connection to an upstream failed before any byte of a request was sent.
enum class ConnectFailure {
    Refused, ///< the attempt failed at once
    TimedOut, ///< nothing answered
};

/// Whether this VM itself has lost its network path to the upstreams, as opposed to an upstream that has ended. Pure: time is an argument.
///
/// Guards against laying a VM's own lost path on the upstreams: it would eject sound upstreams for the VMs that reach them, and refuse its own callers
/// although other VMs could send their requests.
class PathMonitor
{
public:
    /// Records a connection to an upstream that this VM opened itself.
    void recordConnected(const Address &upstream, TimePoint now);
    /// Records a failed attempt that began at "startedAt". One that overlaps with a successful connection says nothing about the path.
    void recordFailure(const Address &upstream, ConnectFailure failure, TimePoint startedAt);
    /// Whether requests should be sent through another VM.
    bool isLost() const
    {
        return m_weight >= LostWeight;
    }
    /// Upstreams that were reached lately, the latest first; if there are none, the first that was not. A connection to any of them proves that the path is
    /// back.
    const std::vector<Address> &probeTargets() const
    {
        return m_probeTargets;
    }

private:
    /// An upstream that has just ended refuses too, so one refusal is no proof; a timeout outlasts many connections of a busy VM.
    static constexpr int RefusedWeight = 1;
    static constexpr int TimedOutWeight = 2;
    static constexpr int LostWeight = 2;
    static constexpr std::size_t MaxProbeTargets = 3;

    int m_weight = 0;
    TimePoint m_connectedAt{};
    std::vector<Address> m_probeTargets;
};

inline void PathMonitor::recordConnected(const Address &upstream, TimePoint now)
{
    m_weight = 0;
    m_connectedAt = now;
    if (!m_probeTargets.empty() && m_probeTargets.front() == upstream) {
        return;
    }
    std::erase(m_probeTargets, upstream);
    m_probeTargets.insert(m_probeTargets.begin(), upstream);
    m_probeTargets.resize(std::min(m_probeTargets.size(), MaxProbeTargets));
}

inline void PathMonitor::recordFailure(const Address &upstream, ConnectFailure failure, TimePoint startedAt)
{
    if (startedAt < m_connectedAt) {
        return;
    }
    m_weight = std::min(m_weight + (failure == ConnectFailure::Refused ? RefusedWeight : TimedOutWeight), LostWeight);
    if (m_probeTargets.empty()) {
        m_probeTargets.push_back(upstream);
    }
}

}

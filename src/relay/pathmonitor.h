#pragma once

#include "common/types.h"

#include <map>
#include <vector>

namespace cumindyke
{

/// How a connection to an upstream failed before any byte of a request was sent.
enum class ConnectFailure {
    Refused, ///< the attempt failed at once
    TimedOut, ///< nothing answered
};

/// Whether this VM itself has lost its network path to the upstreams, or to most of them, as opposed to upstreams that have ended. Pure: time is an argument.
///
/// Guards against laying a VM's own lost path on the upstreams: it would eject sound upstreams for the VMs that reach them, and refuse its own callers
/// although other VMs could send their requests.
class PathMonitor
{
public:
    /// Records a connection to an upstream that this VM opened itself.
    void recordConnected(const Address &upstream, TimePoint now);
    /// Records a failed attempt that began at "startedAt". One that overlaps with a successful connection is no sign that all paths are lost.
    void recordFailure(const Address &upstream, ConnectFailure failure, TimePoint startedAt, TimePoint now);
    /// Whether the paths to all upstreams, or to most of those that were tried lately, are lost.
    bool isLost(TimePoint now) const
    {
        return isAllLost() || isMostLost(now);
    }
    /// Whether some upstreams are reached, although the paths to most of those that were tried lately are lost.
    bool isPartlyLost(TimePoint now) const
    {
        return !isAllLost() && isMostLost(now);
    }
    /// Whether requests to this upstream should be sent through another VM.
    bool isLostTo(const Address &upstream, TimePoint now) const;
    /// Upstreams to connect to in order to find out whether the path is back.
    std::vector<Address> probeTargets(TimePoint now) const;

private:
    /// An upstream that has just ended refuses too, so one refusal is no proof; a timeout outlasts many connections of a busy VM.
    static constexpr int RefusedWeight = 1;
    static constexpr int TimedOutWeight = 2;
    static constexpr int LostWeight = 2;
    /// More upstreams than usually end together.
    static constexpr std::size_t MinLostUpstreams = 4;
    static constexpr std::size_t MaxProbeTargets = 3;
    /// Outdated outcomes are removed beyond this number, or at the next failure.
    static constexpr std::size_t MaxReached = 4096;
    /// The outcome of an older attempt says nothing.
    static constexpr Duration OutcomeLifetime = std::chrono::seconds(4);

    bool isAllLost() const
    {
        return m_weight >= LostWeight;
    }
    bool isMostLost(TimePoint now) const;
    void removeOutdated(TimePoint now);

    int m_weight = 0;
    TimePoint m_connectedAt{};
    /// When the last attempt at each upstream failed, or succeeded: an upstream is in one of them at most.
    std::map<Address, TimePoint> m_lost;
    std::map<Address, TimePoint> m_reached;
    /// Reached last; a probe target when no outcome is left.
    Address m_lastReached;
};

}

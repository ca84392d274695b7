#pragma once

#include "common/types.h"

namespace cumindyke
{

/// Decides whether an overloaded VM takes new connections. Pure: time is an argument.
///
/// Most new connections of a region may come to one VM. A caller whose connection is refused goes to another VM at once, while a request that was read has
/// to wait until the VM gets to it. So a VM whose event loop runs late because of new connections refuses further ones for a short while.
class AcceptGate
{
public:
    /// Time between two measurements.
    static constexpr Duration Interval = std::chrono::milliseconds(25);
    static constexpr Duration MaxLateness = std::chrono::milliseconds(50);
    /// Fewer new connections in one interval are not the reason that the loop runs late.
    static constexpr int MinNewConnections = 5;
    /// The platform takes a VM that accepts nothing for a few seconds for a broken one.
    static constexpr Duration MaxClosedTime = std::chrono::seconds(1);

    /// Records by how much the loop was late, and how many connections it accepted since the last measurement. Returns whether the VM takes new
    /// connections from now on.
    bool record(Duration lateness, int newConnections, TimePoint now)
    {
        if (m_isOpen && lateness > MaxLateness && newConnections >= MinNewConnections) {
            m_isOpen = false;
            m_closedAt = now;
        } else if (!m_isOpen && (lateness < Interval || now - m_closedAt >= MaxClosedTime)) {
            m_isOpen = true;
        }
        return m_isOpen;
    }

private:
    bool m_isOpen = true;
    TimePoint m_closedAt{};
};

}

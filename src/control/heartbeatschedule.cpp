#include "control/heartbeatschedule.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

namespace
{

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);
/// A heartbeat datagram without a reply is retransmitted once after this time: it may have been lost.
constexpr Duration RetransmissionInterval = std::chrono::milliseconds(200);
/// The first lease names only the VMs whose heartbeats arrived earlier; the next ones also name the VMs that start at the same time. Until then a VM
/// may place its own requests at the same upstreams as other VMs do.
constexpr int BurstHeartbeats = 2;
constexpr Duration BurstInterval = std::chrono::milliseconds(80);
/// Time without a lease after which the next candidate is asked for the leader; longer than HeartbeatInterval.
constexpr Duration LeaderTimeout = std::chrono::milliseconds(700);
/// Time for a candidate to reply before the next one is asked: several round trips, and short compared with a lease.
constexpr Duration CandidateTimeout = std::chrono::milliseconds(250);

}

void HeartbeatSchedule::start(TimePoint now)
{
    m_nextAt = now;
    m_askNextCandidateAt = now + LeaderTimeout;
}

void HeartbeatSchedule::onSent(TimePoint now)
{
    const bool isRetransmission = std::exchange(m_awaitingReply, true);
    m_lastSentAt = now;
    m_nextIsRetransmission = m_usesDatagrams && !isRetransmission && m_burstRemaining == 0;
    m_nextAt = now + (m_burstRemaining > 0 ? BurstInterval : m_nextIsRetransmission ? RetransmissionInterval : HeartbeatInterval);
    m_burstRemaining = std::max(0, m_burstRemaining - 1);
}

void HeartbeatSchedule::onNextCandidateAsked(TimePoint now)
{
    m_askNextCandidateAt = now + CandidateTimeout;
}

void HeartbeatSchedule::onReply()
{
    m_awaitingReply = false;
    if (std::exchange(m_nextIsRetransmission, false)) {
        m_nextAt = m_lastSentAt + HeartbeatInterval;
    }
}

void HeartbeatSchedule::onLeaseGranted(TimePoint now)
{
    m_askNextCandidateAt = now + LeaderTimeout;
}

void HeartbeatSchedule::startBurst(TimePoint now)
{
    m_burstRemaining = BurstHeartbeats;
    m_nextAt = std::min(m_nextAt, now + BurstInterval);
}

}

#include "control/heartbeatschedule.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

namespace
{

constexpr Duration BeatInterval = std::chrono::milliseconds(500);
/// A beat by datagram that nothing answered is repeated so soon, once: it may have been lost.
constexpr Duration UnansweredInterval = std::chrono::milliseconds(200);
/// The first lease names only the VMs that beat before this one; the next ones name those that start together with it. Until then a VM may place its own
/// requests, at the same upstreams as others.
constexpr int SettlingBeats = 2;
constexpr Duration SettlingInterval = std::chrono::milliseconds(80);
/// Without a lease for this long, more than the beats are apart, another VM is asked who leads.
constexpr Duration LeaderSilence = std::chrono::milliseconds(700);
/// While nobody answered, the next one is asked this much later: several round trips, and short against the lease.
constexpr Duration SearchInterval = std::chrono::milliseconds(250);

}

void HeartbeatSchedule::start(TimePoint now)
{
    m_next = now;
    m_askAnotherAt = now + LeaderSilence;
}

void HeartbeatSchedule::sent(TimePoint now)
{
    const bool isRepeat = std::exchange(m_unanswered, true);
    m_last = now;
    m_nextIsRepeat = m_mayBeLost && !isRepeat && m_settling == 0;
    m_next = now + (m_settling > 0 ? SettlingInterval : m_nextIsRepeat ? UnansweredInterval : BeatInterval);
    m_settling = std::max(0, m_settling - 1);
}

void HeartbeatSchedule::askedAnother(TimePoint now)
{
    m_askAnotherAt = now + SearchInterval;
}

void HeartbeatSchedule::answered()
{
    m_unanswered = false;
    if (std::exchange(m_nextIsRepeat, false)) {
        m_next = m_last + BeatInterval;
    }
}

void HeartbeatSchedule::granted(TimePoint now)
{
    m_askAnotherAt = now + LeaderSilence;
}

void HeartbeatSchedule::settle(TimePoint now)
{
    m_settling = SettlingBeats;
    m_next = std::min(m_next, now + SettlingInterval);
}

}

#pragma once

#include "common/types.h"

namespace cumindyke
{

/// Decides when a VM sends its next heartbeat and when it asks the next candidate for a lease. Pure: time is an argument.
class HeartbeatSchedule
{
public:
    /// usesDatagrams: heartbeats go by datagrams, which may be lost.
    explicit HeartbeatSchedule(bool usesDatagrams)
        : m_usesDatagrams(usesDatagrams)
    {
    }

    /// Peers can reach this VM from now on: the first heartbeat is due.
    void start(TimePoint now);
    bool isDue(TimePoint now) const
    {
        return now >= m_nextAt;
    }
    /// Returns whether no lease was granted for too long, so that the next candidate must be asked, with a heartbeat at once.
    bool mustAskNextCandidate(TimePoint now) const
    {
        return now >= m_askNextCandidateAt;
    }

    void onSent(TimePoint now);
    /// Records that the next candidate was asked; if it does not reply either, the one after it is due soon.
    void onNextCandidateAsked(TimePoint now);
    /// Records a reply to the last heartbeat: a lease, a refusal or a leader hint.
    void onReply();
    void onLeaseGranted(TimePoint now);
    /// Schedules a burst of closely spaced heartbeats after the first lease, or the first one after a lapse.
    void startBurst(TimePoint now);

private:
    const bool m_usesDatagrams;
    TimePoint m_lastSentAt{};
    TimePoint m_nextAt{};
    TimePoint m_askNextCandidateAt{};
    /// No reply has arrived since the last heartbeat.
    bool m_awaitingReply = false;
    /// The next heartbeat is a retransmission of the last one, due only while no reply arrives.
    bool m_nextIsRetransmission = false;
    /// Heartbeats left in the burst.
    int m_burstRemaining = 0;
};

}

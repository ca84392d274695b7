#pragma once

#include "common/types.h"

namespace cumindyke
{

/// When a VM sends its next beat, and when it asks another VM for a lease. Pure: time is an argument.
class HeartbeatSchedule
{
public:
    /// "mayBeLost": beats go by datagrams.
    explicit HeartbeatSchedule(bool mayBeLost)
        : m_mayBeLost(mayBeLost)
    {
    }

    /// The VM can be reached from now on: the first beat is due.
    void start(TimePoint now);
    bool isDue(TimePoint now) const
    {
        return now >= m_next;
    }
    /// Nobody has granted a lease for too long: another VM is to be asked, with a beat at once.
    bool mustAskAnother(TimePoint now) const
    {
        return now >= m_askAnotherAt;
    }

    void sent(TimePoint now);
    /// Another VM was just asked: the next one soon, if it gives no answer.
    void askedAnother(TimePoint now);
    /// A lease, a refusal or a hint came.
    void answered();
    void granted(TimePoint now);
    /// The first lease after a while without: it is followed by beats that are close together.
    void settle(TimePoint now);

private:
    const bool m_mayBeLost;
    TimePoint m_last{};
    TimePoint m_next{};
    TimePoint m_askAnotherAt{};
    /// Nothing has answered since the last beat.
    bool m_unanswered = false;
    /// The next beat repeats the last one, if that stays unanswered.
    bool m_nextIsRepeat = false;
    /// Beats that still follow soon on each other.
    int m_settling = 0;
};

}

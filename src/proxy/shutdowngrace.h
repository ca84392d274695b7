#pragma once

#include "common/types.h"

#include <algorithm>
#include <optional>

namespace cumindyke
{

/// The time that a VM has for a graceful shutdown: at its end the platform kills the process, whatever it still does.
///
/// Guards against requests that end without an answer. A request that can't end in time is not sent to an upstream any more, so that its caller may send it to
/// another VM, and whatever still runs shortly before the end gets an answer that says that it may have run.
class ShutdownGrace
{
public:
    /// Without a length the process may take as long as its requests need.
    ShutdownGrace(TimePoint startedAt, std::optional<Duration> length)
    {
        if (length) {
            m_finalAnswersAt = startedAt + *length - std::min(*length / FinalAnswersPart, MaxTimeForFinalAnswers);
        }
    }
    /// Whether a request that is sent to an upstream now, and is expected to take this long, ends in time.
    bool endsInTime(TimePoint now, Duration expected) const
    {
        return !m_finalAnswersAt || (now < *m_finalAnswersAt && now + expected <= *m_finalAnswersAt);
    }
    /// Whether all requests must get their final answers now.
    bool areFinalAnswersDue(TimePoint now) const
    {
        return m_finalAnswersAt && now >= *m_finalAnswersAt;
    }

private:
    /// The platform accepts that a request is broken off whose upstream was still at work in the last sixth of the grace. The first half of the sixth is for a
    /// SIGTERM that is handled late, the second one for the writing of the answers.
    static constexpr int FinalAnswersPart = 12;
    static constexpr Duration MaxTimeForFinalAnswers = std::chrono::seconds(1);
    std::optional<TimePoint> m_finalAnswersAt;
};

}

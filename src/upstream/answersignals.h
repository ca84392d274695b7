#pragma once

#include "upstream/upstreamcall.h"

#include <optional>
#include <string>

namespace cumindyke
{

/// Names of the headers in which an upstream says what it bears from now on; empty: the platform has none.
struct SignalHeaders
{
    /// On a refusal: seconds for which the upstream wants no request from this VM.
    std::string pause;
    /// "1": the upstream is leaving.
    std::string leaving;
    /// Requests that the upstream may refuse within a second for lack of room before it crashes.
    std::string refusalLimit;
};

/// What an upstream said of itself in an answer.
struct AnswerSignals
{
    std::optional<Duration> pause;
    bool isLeaving = false;
    std::optional<double> refusalLimit;
    /// A value could not be parsed; the cautious case stands in its place.
    bool hasInvalid = false;
};

/// Returns the signals in an answer's headers; of several values the most cautious.
AnswerSignals parseAnswerSignals(const AnswerHead &head, const SignalHeaders &names);

}

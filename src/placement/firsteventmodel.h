#pragma once

#include "common/types.h"

#include <cstdint>

namespace cumindyke
{

/// Linear model of the time from sending a request to a model engine until its first event, fitted to the answers of one service: a fixed part and a
/// part per prompt token that the engine processes before the event (prefill). Both parts are for an engine of slowness 1, the fastest of the
/// service; on another engine the time is multiplied by its slowness, the ratio of the engines' paces.
///
/// Least squares with exponential forgetting: engines and their load change over minutes, in which a few hundred answers arrive.
class FirstEventModel
{
public:
    /// Records the time to a first event on an engine of this slowness. "tokens" counts the request's own prompt and the prompts queued before
    /// it.
    void record(double tokens, double milliseconds, double slowness);
    /// Predicted milliseconds to the first event; 0 while too few answers are recorded.
    double predictedMs(double tokens, double slowness) const;
    /// The part of predictedMs() that is spent on the prompt tokens; 0 while too few answers are recorded.
    double predictedPrefillMs(double tokens, double slowness) const;

private:
    double msPerToken() const;

    double m_weight = 0;
    double m_sumTokens = 0;
    double m_sumMs = 0;
    double m_sumTokensSquared = 0;
    double m_sumProduct = 0;
};

}

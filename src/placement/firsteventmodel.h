#pragma once

#include "common/types.h"

#include <cstdint>

namespace cumindyke
{

/// How long a service's engines take to a first event, learned from answers: a fixed part and a part for each prompt token that is read
/// before it. Both are for an engine of slowness 1; those of another speed take that many times as long.
///
/// A recursive least-squares line with forgetting: engines and their load change over minutes, and some hundred answers are seen in one.
class FirstEventModel
{
public:
    /// A first event came after so long on an engine of this slowness, with so many tokens to read, its own prompt and those before it.
    void record(double tokens, double milliseconds, double slowness);
    /// Milliseconds to the first event; 0 while nothing was learned.
    double predictedMs(double tokens, double slowness) const;
    /// Of these, what the reading of the tokens takes; 0 while nothing was learned.
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

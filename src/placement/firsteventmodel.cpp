#include "placement/firsteventmodel.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// About the last 500 answers count.
constexpr double DecayPerAnswer = 0.998;
constexpr double MinWeight = 10;

}

void FirstEventModel::record(double tokens, double milliseconds, double slowness)
{
    const double normalisedMs = milliseconds / std::max(slowness, 0.01);
    m_weight = DecayPerAnswer * m_weight + 1;
    m_sumTokens = DecayPerAnswer * m_sumTokens + tokens;
    m_sumMs = DecayPerAnswer * m_sumMs + normalisedMs;
    m_sumTokensSquared = DecayPerAnswer * m_sumTokensSquared + tokens * tokens;
    m_sumProduct = DecayPerAnswer * m_sumProduct + tokens * normalisedMs;
}

double FirstEventModel::msPerToken() const
{
    const double determinant = m_weight * m_sumTokensSquared - m_sumTokens * m_sumTokens;
    return determinant <= 0 ? 0 : std::max(0.0, (m_weight * m_sumProduct - m_sumTokens * m_sumMs) / determinant);
}

double FirstEventModel::predictedMs(double tokens, double slowness) const
{
    if (m_weight < MinWeight) {
        return 0;
    }
    const double perToken = msPerToken();
    const double fixedMs = std::max(0.0, (m_sumMs - perToken * m_sumTokens) / m_weight);
    return slowness * (fixedMs + perToken * tokens);
}

double FirstEventModel::predictedPrefillMs(double tokens, double slowness) const
{
    return m_weight < MinWeight ? 0 : slowness * msPerToken() * tokens;
}

}

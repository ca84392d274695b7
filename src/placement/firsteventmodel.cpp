#include "placement/firsteventmodel.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// About the last 500 answers count.
constexpr double Forgetting = 0.998;
constexpr double LeastWeight = 10;

}

void FirstEventModel::observed(double tokens, double milliseconds, double slowness)
{
    const double normal = milliseconds / std::max(slowness, 0.01);
    m_weight = Forgetting * m_weight + 1;
    m_sumTokens = Forgetting * m_sumTokens + tokens;
    m_sumMs = Forgetting * m_sumMs + normal;
    m_sumTokensSquared = Forgetting * m_sumTokensSquared + tokens * tokens;
    m_sumProduct = Forgetting * m_sumProduct + tokens * normal;
}

double FirstEventModel::perToken() const
{
    const double spread = m_weight * m_sumTokensSquared - m_sumTokens * m_sumTokens;
    return spread <= 0 ? 0 : std::max(0.0, (m_weight * m_sumProduct - m_sumTokens * m_sumMs) / spread);
}

double FirstEventModel::predictedMs(double tokens, double slowness) const
{
    if (m_weight < LeastWeight) {
        return 0;
    }
    const double slope = perToken();
    const double fixed = std::max(0.0, (m_sumMs - slope * m_sumTokens) / m_weight);
    return slowness * (fixed + slope * tokens);
}

double FirstEventModel::readingMs(double tokens, double slowness) const
{
    return m_weight < LeastWeight ? 0 : slowness * perToken() * tokens;
}

}

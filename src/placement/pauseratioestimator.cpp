#include "placement/pauseratioestimator.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Streams that are expected to stay below the ratio.
constexpr double Part = 0.8;
/// How far one stream moves the ratio: about the last hundred count.
constexpr double Step = 0.05;
constexpr int LeastSeen = 20;

}

/// A quantile by stochastic approximation: up by Part for each stream above it, down by the rest for each below.
void PauseRatioEstimator::observed(double meanMs, double longestPauseMs)
{
    if (meanMs <= 0 || longestPauseMs < meanMs) {
        return;
    }
    const double ratio = longestPauseMs / meanMs;
    m_seen = std::min(m_seen + 1, LeastSeen);
    if (m_ratio == 0) {
        m_ratio = ratio;
        return;
    }
    m_ratio += Step * m_ratio * (ratio > m_ratio ? Part : Part - 1);
}

double PauseRatioEstimator::ratio() const
{
    return m_seen < LeastSeen ? 0 : m_ratio;
}

}

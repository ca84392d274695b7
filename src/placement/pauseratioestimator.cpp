#include "placement/pauseratioestimator.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Streams that are expected to stay below the ratio.
constexpr double Quantile = 0.8;
/// How far one stream moves the ratio: about the last hundred count.
constexpr double StepSize = 0.05;
constexpr int MinStreams = 20;

}

/// A quantile by stochastic approximation: up by Part for each stream above it, down by the rest for each below.
void PauseRatioEstimator::record(double meanMs, double longestPauseMs)
{
    if (meanMs <= 0 || longestPauseMs < meanMs) {
        return;
    }
    const double ratio = longestPauseMs / meanMs;
    m_streams = std::min(m_streams + 1, MinStreams);
    if (m_ratio == 0) {
        m_ratio = ratio;
        return;
    }
    m_ratio += StepSize * m_ratio * (ratio > m_ratio ? Quantile : Quantile - 1);
}

double PauseRatioEstimator::ratio() const
{
    return m_streams < MinStreams ? 0 : m_ratio;
}

}

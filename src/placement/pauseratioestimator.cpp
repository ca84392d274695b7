#include "placement/pauseratioestimator.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Share of streams that should stay below the ratio.
constexpr double Quantile = 0.8;
/// Relative change of the ratio per stream: about the last hundred streams count.
constexpr double StepSize = 0.05;
constexpr int MinStreams = 20;

}

/// Estimates the quantile by stochastic approximation: each stream above the ratio raises it in proportion to Quantile, each one below lowers it in
/// proportion to 1 - Quantile.
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

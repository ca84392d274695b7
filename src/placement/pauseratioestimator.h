#pragma once

#include "placement/quantileestimator.h"

namespace cumindyke
{

/// Estimates a high quantile of the ratio between the longest and the mean pause between events, over the finished streams of one service.
///
/// An engine processes new prompts in chunks between the steps of its running streams, so the pauses of these streams grow up to a bound that depends
/// on chunk and step size. Both scale with the engine's slowness, so one ratio holds for engines of all speeds.
class PauseRatioEstimator
{
public:
    void record(double meanMs, double longestPauseMs);
    /// The ratio that four of five streams stay below; 0 while too few streams are recorded.
    double ratio() const;

private:
    QuantileEstimator m_ratios;
};

}

#include "placement/pauseratioestimator.h"

namespace cumindyke
{

void PauseRatioEstimator::record(double meanMs, double longestPauseMs)
{
    if (meanMs > 0 && longestPauseMs >= meanMs) {
        m_ratios.record(longestPauseMs / meanMs);
    }
}

double PauseRatioEstimator::ratio() const
{
    return m_ratios.value();
}

}

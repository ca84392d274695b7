#pragma once

#include <algorithm>

namespace cumindyke
{

/// Estimates the 0.8 quantile of a stream of observations by stochastic approximation: an observation above the estimate raises it by four times as much as
/// one below lowers it. The estimate follows about the last hundred observations.
class QuantileEstimator
{
public:
    void record(double observation)
    {
        if (observation <= 0) {
            return;
        }
        m_count = std::min(m_count + 1, MinCount);
        m_value = m_value == 0 ? observation : m_value + StepSize * m_value * (observation > m_value ? Quantile : Quantile - 1);
    }
    /// 0 while there are too few observations.
    double value() const
    {
        return m_count < MinCount ? 0 : m_value;
    }

private:
    static constexpr double Quantile = 0.8;
    /// Relative change of the estimate per observation.
    static constexpr double StepSize = 0.05;
    static constexpr int MinCount = 20;

    double m_value = 0;
    int m_count = 0;
};

}

#include "policy/lengthestimate.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Four of five answers are shorter. Near a deadline it is the longer answers that miss it and waste their prefill.
constexpr double Quantile = 0.8;
/// Step size of the quantile's estimate, relative to the estimate.
constexpr double StepRatio = 0.05;

/// Stochastic approximation of a quantile (Robbins, Monro 1951): a value above the estimate raises it in proportion to the quantile, any
/// other value lowers it in proportion to the remainder.
void updateQuantile(double &estimate, std::uint32_t &count, double value)
{
    if (count++ == 0) {
        estimate = value;
        return;
    }
    estimate *= value > estimate ? 1 + StepRatio * Quantile : 1 - StepRatio * (1 - Quantile);
}

}

TokenCount LengthEstimate::answer(const ServiceName &service, const std::string &route, TokenCount limit) const
{
    const auto found = m_quantiles.find({service, route});
    const Quantiles quantiles = found == m_quantiles.end() ? Quantiles{} : found->second;
    const double length = limit.value > 0 ? limit.value * quantiles.limitShare : quantiles.length;
    return TokenCount{std::max<std::uint32_t>(1, static_cast<std::uint32_t>(length))};
}

void LengthEstimate::recordAnswer(const ServiceName &service, const std::string &route, TokenCount limit, TokenCount answer)
{
    Quantiles &quantiles = m_quantiles[{service, route}];
    updateQuantile(quantiles.length, quantiles.lengthCount, answer.value);
    if (limit.value > 0) {
        updateQuantile(quantiles.limitShare, quantiles.limitShareCount, static_cast<double>(answer.value) / limit.value);
    }
}

}

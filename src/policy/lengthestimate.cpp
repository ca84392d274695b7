#include "policy/lengthestimate.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Four of five answers are shorter: near a deadline it is the longer ones that spoil their prefill.
constexpr double Quantile = 0.8;
/// Step of the quantile's estimate, as a part of it.
constexpr double Gain = 0.05;

/// Stochastic approximation of a quantile (Robbins, Monro 1951): up by the quantile's part when a value is above, down by the rest.
void follow(double &quantile, std::uint32_t &count, double value)
{
    if (count++ == 0) {
        quantile = value;
        return;
    }
    quantile *= value > quantile ? 1 + Gain * Quantile : 1 - Gain * (1 - Quantile);
}

}

TokenCount LengthEstimate::answer(const ServiceName &service, const std::string &route, TokenCount limit) const
{
    const auto found = m_learned.find({service, route});
    const Learned learned = found == m_learned.end() ? Learned{} : found->second;
    const double length = limit.value > 0 ? limit.value * learned.partOfLimit : learned.length;
    return TokenCount{std::max<std::uint32_t>(1, static_cast<std::uint32_t>(length))};
}

void LengthEstimate::recordAnswer(const ServiceName &service, const std::string &route, TokenCount limit, TokenCount answer)
{
    Learned &learned = m_learned[{service, route}];
    follow(learned.length, learned.lengths, answer.value);
    if (limit.value > 0) {
        follow(learned.partOfLimit, learned.parts, static_cast<double>(answer.value) / limit.value);
    }
}

}

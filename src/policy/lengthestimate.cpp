#include "policy/lengthestimate.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// A mean over about the last hundred answers; the first ones count in full.
constexpr double LeastGain = 0.01;

void average(double &mean, std::uint32_t &count, double value)
{
    ++count;
    mean += std::max(1.0 / count, LeastGain) * (value - mean);
}

}

TokenCount LengthEstimate::answer(const ServiceName &service, const std::string &route, TokenCount limit) const
{
    const auto found = m_learned.find({service, route});
    const Learned learned = found == m_learned.end() ? Learned{} : found->second;
    const double length = limit.value > 0 ? limit.value * learned.partOfLimit : learned.length;
    return TokenCount{std::max<std::uint32_t>(1, static_cast<std::uint32_t>(length))};
}

void LengthEstimate::learn(const ServiceName &service, const std::string &route, TokenCount limit, TokenCount answer)
{
    Learned &learned = m_learned[{service, route}];
    average(learned.length, learned.lengths, answer.value);
    if (limit.value > 0) {
        average(learned.partOfLimit, learned.parts, static_cast<double>(answer.value) / limit.value);
    }
}

}

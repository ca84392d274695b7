#pragma once

#include "common/types.h"

#include <map>
#include <string>
#include <utility>

namespace cumindyke
{

/// Predicts the length of an answer in tokens as a high quantile of the earlier answers on the same service and route. A caller's limit
/// is evidence of the length too, so the used share of the limit is estimated separately.
class LengthEstimate
{
public:
    /// Returns the predicted length of an answer. The limit is 0 when the caller gave none.
    TokenCount answer(const ServiceName &service, const std::string &route, TokenCount limit) const;
    /// Records the length of a finished answer.
    void recordAnswer(const ServiceName &service, const std::string &route, TokenCount limit, TokenCount answer);

private:
    struct Quantiles
    {
        double length = 64;
        double limitShare = 0.5;
        std::uint32_t lengthCount = 0;
        std::uint32_t limitShareCount = 0;
    };

    std::map<std::pair<ServiceName, std::string>, Quantiles> m_quantiles;
};

}

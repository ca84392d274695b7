#pragma once

#include "common/types.h"

#include <map>
#include <string>
#include <utility>

namespace cumindyke
{

/// Predicts how long an answer may get, in tokens, from those before it on the same service and route: a high quantile. Callers' limits
/// say something of the length: how much of a limit is used is learned apart.
class LengthEstimate
{
public:
    /// The limit is 0 when the caller gave none.
    TokenCount answer(const ServiceName &service, const std::string &route, TokenCount limit) const;
    void recordAnswer(const ServiceName &service, const std::string &route, TokenCount limit, TokenCount answer);

private:
    struct Learned
    {
        double length = 64;
        double partOfLimit = 0.5;
        std::uint32_t lengths = 0;
        std::uint32_t parts = 0;
    };

    std::map<std::pair<ServiceName, std::string>, Learned> m_learned;
};

}

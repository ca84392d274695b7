#pragma once

#include "common/types.h"

#include <map>
#include <string>
#include <utility>

namespace cumindyke
{

/// Predicts the tokens of an answer from those before it on the same service and route. Callers' limits bound the answer and say
/// something of its length: how much of a limit is used is learned apart.
class LengthEstimate
{
public:
    /// The limit is 0 when the caller gave none.
    TokenCount answer(const ServiceName &service, const std::string &route, TokenCount limit) const;
    void learn(const ServiceName &service, const std::string &route, TokenCount limit, TokenCount answer);

private:
    struct Learned
    {
        double length = 256;
        double partOfLimit = 0.7;
        std::uint32_t lengths = 0;
        std::uint32_t parts = 0;
    };

    std::map<std::pair<ServiceName, std::string>, Learned> m_learned;
};

}

#pragma once

#include "bench/scenario.h"

#include <vector>

namespace cumindyke
{

/// One request of an experiment, with what only the experiment knows of it.
struct BenchRequest
{
    std::uint32_t index = 0;
    RequestId id;
    ServiceName service;
    TierRank tier;
    OrganisationName organisation;
    std::string route;
    /// The entry VM the balancer gives it to, from 0.
    std::uint32_t vm = 0;
    TimePoint arrival;
    TimePoint deadline;
    TokenCount prompt;
    /// Its true length.
    TokenCount answer;
    /// The limit the caller gave; 0 when it gave none.
    TokenCount answerLimit;
    std::uint64_t prefix = 0;
    TokenCount sharedPrefix;

    double work() const
    {
        return prompt.value + answer.value;
    }
};

/// All requests of a run, in the order of arrival.
std::vector<BenchRequest> makeWorkload(const Scenario &scenario, std::uint64_t seed);

}

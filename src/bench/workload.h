#pragma once

#include "bench/scenario.h"

#include <vector>

namespace cumindyke
{

/// One request of an experiment, including properties such as its true answer length that the scheduler does not know.
struct BenchRequest
{
    std::uint32_t index = 0;
    RequestId id;
    ServiceName service;
    TierRank tier;
    OrganisationName organisation;
    std::string route;
    /// Index of the entry VM that the balancer chooses, from 0.
    std::uint32_t vm = 0;
    TimePoint arrival;
    TimePoint deadline;
    TokenCount prompt;
    /// True length of the answer.
    TokenCount answer;
    /// Limit of the answer's length that the caller states; 0: none.
    TokenCount answerLimit;
    std::uint64_t prefix = 0;
    TokenCount sharedPrefix;

    /// Returns the total number of prompt and answer tokens.
    double work() const
    {
        return prompt.value + answer.value;
    }
};

/// Generates the requests of a run in order of arrival.
std::vector<BenchRequest> makeWorkload(const Scenario &scenario, std::uint64_t seed);

}

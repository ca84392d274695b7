#include "bench/workload.h"

#include "bench/random.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr double MicrosecondsPerSecond = 1e6;
/// Makes the prefix ids of different streams and organisations distinct.
constexpr std::uint64_t PrefixIdStride = 100'000;

/// Returns the weights 1/1, 1/2, 1/3, ...
std::vector<double> harmonicWeights(std::uint32_t count)
{
    std::vector<double> weights;
    for (std::uint32_t i = 1; i <= count; ++i) {
        weights.push_back(1.0 / i);
    }
    return weights;
}

struct ArrivalStream
{
    const Scenario &scenario;
    const ScenarioArrivals &arrivals;
    std::uint64_t number;
    std::vector<double> organisationShares;
    std::vector<double> prefixWeights;
};

BenchRequest makeRequest(const ArrivalStream &stream, Random &random, TimePoint arrival)
{
    const ScenarioArrivals &arrivals = stream.arrivals;
    const std::size_t organisation = random.weightedIndex(stream.organisationShares);
    const auto prompt = static_cast<std::uint32_t>(random.fromQuantiles(arrivals.prompt));
    const auto answer = static_cast<std::uint32_t>(random.fromQuantiles(arrivals.answer));
    const std::size_t prefix = random.weightedIndex(stream.prefixWeights);
    const bool statesLimit = random.uniform() < arrivals.statedLimitRatio;
    const double limitFactor = 1 + random.uniform();
    return BenchRequest{
        .service = arrivals.service,
        .tier = arrivals.tier,
        .organisation = stream.scenario.organisations[organisation].name,
        .route = arrivals.route,
        .vm = random.uniformInteger(stream.scenario.entryVms),
        .arrival = arrival,
        .deadline = arrival + arrivals.deadline,
        .prompt = TokenCount{prompt},
        .answer = TokenCount{answer},
        .answerLimit = TokenCount{statesLimit ? static_cast<std::uint32_t>(answer * limitFactor) : 0},
        .prefix = (stream.number * PrefixIdStride + organisation) * PrefixIdStride + prefix + 1,
        .sharedPrefix = TokenCount{static_cast<std::uint32_t>(prompt * arrivals.sharedPrefixRatio)},
    };
}

}

std::vector<BenchRequest> makeWorkload(const Scenario &scenario, std::uint64_t seed)
{
    std::vector<BenchRequest> requests;
    for (std::size_t number = 0; number < scenario.arrivals.size(); ++number) {
        const ScenarioArrivals &arrivals = scenario.arrivals[number];
        ArrivalStream stream{
            .scenario = scenario, .arrivals = arrivals, .number = number, .organisationShares = {}, .prefixWeights = harmonicWeights(arrivals.prefixes)};
        for (const ScenarioOrganisation &organisation : scenario.organisations) {
            stream.organisationShares.push_back(organisation.share);
        }
        // Each stream has its own generator, so that changing the rate of one does not change the others.
        Random random(seed * 1000 + number);
        const double meanGap = MicrosecondsPerSecond / (arrivals.rate * scenario.load);
        const TimePoint until{arrivals.until > Duration::zero() ? arrivals.until : scenario.duration};
        TimePoint at{arrivals.from};
        for (;;) {
            at += Duration(static_cast<Duration::rep>(random.exponential() * meanGap));
            if (at >= until) {
                break;
            }
            requests.push_back(makeRequest(stream, random, at));
        }
    }
    std::ranges::stable_sort(requests, {}, &BenchRequest::arrival);
    for (std::size_t i = 0; i < requests.size(); ++i) {
        requests[i].index = static_cast<std::uint32_t>(i);
        requests[i].id = RequestId{"r" + std::to_string(i)};
    }
    return requests;
}

}

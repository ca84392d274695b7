// Measures the cost of decisions with google-benchmark: placement, the queue and a scheduler's step, at the sizes used in docs/CAPACITY.md.

#include "cell/cellscheduler.h"
#include "policy/pendingqueue.h"
#include "policy/placement.h"

#include <benchmark/benchmark.h>

using namespace cumindyke;
using namespace std::chrono_literals;

namespace
{

/// Maximum number of upstreams of a cell; a service with more has several cells.
constexpr std::int64_t MaxCellUpstreams = 50;

std::vector<UpstreamState> makeUpstreams(std::int64_t count)
{
    std::vector<UpstreamState> upstreams;
    for (std::int64_t i = 0; i < count; ++i) {
        const auto number = static_cast<std::uint32_t>(i);
        upstreams.push_back(UpstreamState{
            .slots = 32,
            .window = 32,
            .inFlight = number * 7 % 32,
            .tokenMicroseconds = 20'000.0 + 37 * (number % 100),
            .speedMeasured = true,
        });
    }
    return upstreams;
}

/// Places one request among all upstreams, the cost that cells avoid.
void placementOverAll(benchmark::State &state)
{
    std::vector<UpstreamState> upstreams = makeUpstreams(state.range(0));
    const PlacementRequest request{.prompt = TokenCount{600}, .answer = TokenCount{200}, .cachedOn = 0b1010, .deadline = TimePoint(30s)};
    for (auto _ : state) {
        benchmark::DoNotOptimize(choosePlacement(upstreams, request, {}, TimePoint(1s)));
    }
}
BENCHMARK(placementOverAll)->Arg(10)->Arg(50)->Arg(500)->Arg(2500);

/// Places one request in a cell of at most 50 upstreams, in each cell in turn.
void placementByCells(benchmark::State &state)
{
    std::vector<std::vector<UpstreamState>> cells;
    for (std::int64_t remaining = state.range(0); remaining > 0; remaining -= MaxCellUpstreams) {
        cells.push_back(makeUpstreams(std::min(remaining, MaxCellUpstreams)));
    }
    const PlacementRequest request{.prompt = TokenCount{600}, .answer = TokenCount{200}, .cachedOn = 0b1010, .deadline = TimePoint(30s)};
    std::size_t nextCell = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(choosePlacement(cells[nextCell++ % cells.size()], request, {}, TimePoint(1s)));
    }
}
BENCHMARK(placementByCells)->Arg(10)->Arg(50)->Arg(500)->Arg(2500);

PendingRequest makePendingRequest(std::int64_t number)
{
    return PendingRequest{
        .id = RequestId{"r" + std::to_string(number)},
        .tier = TierRank{static_cast<std::uint8_t>(number % 4)},
        .organisation = OrganisationName{"org-" + std::to_string(number % 20)},
        .service = ServiceName{"drafting"},
        .deadline = TimePoint(1s * (number % 97)),
        .work = TokenCount{300},
    };
}

/// Enqueues a request into a queue of the given size and removes the first one.
void queueAddAndTake(benchmark::State &state)
{
    PendingQueue queue;
    std::int64_t number = 0;
    while (number < state.range(0)) {
        queue.add(makePendingRequest(number++));
    }
    for (auto _ : state) {
        queue.add(makePendingRequest(number++));
        const RequestId first = queue.first()->id;
        queue.dequeue(first);
    }
}
BENCHMARK(queueAddAndTake)->Arg(10)->Arg(50)->Arg(500)->Arg(2500);

/// Runs a scheduler step after a demand of 16 entries from one of 8 VMs, in a cell whose upstreams always have a free slot.
void schedulerStep(benchmark::State &state)
{
    CellScheduler scheduler(CellOptions{.cell = CellName{"drafting/dc0"}, .epoch = Epoch{1}}, TimePoint{});
    std::vector<CellUpstream> upstreams;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        upstreams.push_back(CellUpstream{.name = UpstreamName{"drafting-" + std::to_string(i)}, .version = VersionName{"v1"}, .slots = 1'000'000});
    }
    scheduler.setUpstreams(upstreams, TimePoint{});
    Demand demand{.cell = CellName{"drafting/dc0"}, .lowestWaiting = TierRank{2}};
    for (std::uint32_t i = 0; i < 16; ++i) {
        demand.lines.push_back(DemandLine{
            .tier = TierRank{static_cast<std::uint8_t>(i % 3)},
            .version = VersionName{"v1"},
            .organisation = OrganisationName{"org-" + std::to_string(i % 5)},
            .promptTokens = TokenCount{600},
            .answerTokens = TokenCount{200},
            .prefix = i + 1,
            .count = 1,
            .untilDeadline = 30s,
            .key = i,
        });
    }
    std::uint64_t sequence = 0;
    for (auto _ : state) {
        ++sequence;
        const TimePoint now(1ms * sequence);
        demand.sequence = sequence;
        const VmName vm{"entry-" + std::to_string(sequence % 8)};
        GrantReport report{.cell = demand.cell, .vm = vm, .epoch = Epoch{1}, .sequence = sequence, .grantsSeen = sequence};
        scheduler.handleReport(vm, report, now);
        scheduler.handleDemand(vm, demand, now);
        benchmark::DoNotOptimize(scheduler.step(now));
    }
    state.counters["per_grant"] = benchmark::Counter(16, benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
BENCHMARK(schedulerStep)->Arg(10)->Arg(50);

}

BENCHMARK_MAIN();

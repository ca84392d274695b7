// Cost of a placement decision with and without shares of organisations, at the largest size of docs/design/hard-load.md.

#include "placement/placementserver.h"

#include <benchmark/benchmark.h>

#include <algorithm>

using namespace cumindyke;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Organisations = 2'200;
constexpr std::uint64_t Upstreams = 2'500;
constexpr std::uint64_t Waiting = 5'000;
constexpr std::uint64_t Ranks = 3;
constexpr std::uint64_t EntryVms = 100;
constexpr std::uint32_t SlotsPerUpstream = 4;
constexpr std::uint32_t PromptTokens = 500;
const std::string VmPrefix = "10.0.1.";
constexpr TimePoint Start{100s};

std::string organisation(std::uint64_t number)
{
    return "organisation-" + std::to_string(number * 7919 % Organisations);
}

/// Grants one request, enqueues another one, and expires what is due, in a queue of the given size.
void queueDecision(benchmark::State &state)
{
    const bool isFair = state.range(0) != 0;
    const ServiceName service{"drafts"};
    RequestQueue<PlacementId> queue;
    OrganisationShares shares;
    std::map<PlacementId, std::string> owners;
    std::uint64_t lastId = 0;
    TimePoint now = Start;
    const auto enqueue = [&] {
        const PlacementId id{++lastId};
        const std::string name = organisation(lastId);
        const PriorityRank rank{static_cast<std::uint32_t>(lastId % Ranks)};
        const TimePoint latestStart = now + 1ms * static_cast<int>(lastId * 31 % 800);
        if (isFair) {
            if (queue.waitingOf(name) == 0) {
                shares.limitCredit(service, name, queue.smallestUsage(rank).value_or(0));
            }
            queue.enqueue(id, rank, latestStart, now + 1h, name, shares.usage(service, name));
        } else {
            queue.enqueue(id, rank, latestStart, now + 1h);
        }
        owners.emplace(id, name);
    };
    while (queue.size() < Waiting) {
        enqueue();
    }
    for (auto _ : state) {
        now += 100us;
        const PlacementId id = *queue.inOrder(now).begin();
        const auto owner = owners.find(id);
        queue.remove(id);
        if (isFair) {
            shares.charge(service, owner->second, 700, now);
            queue.setUsage(owner->second, shares.usage(service, owner->second));
        }
        owners.erase(owner);
        enqueue();
        benchmark::DoNotOptimize(queue.removeExpired(now));
    }
}
BENCHMARK(queueDecision)->Arg(0)->Arg(1);

/// A request ends, another one arrives, and the server grants the slot: the whole decision, with one pass for each request. 0: without shares;
/// 1: with shares; 2: with shares and one organisation, so that the order, and the upstreams that are chosen, are those without shares.
void serverDecision(benchmark::State &state)
{
    const bool hasOneOrganisation = state.range(0) == 2;
    PlacementServer server({.localDataCentre = DataCentreName{"dc-a"}}, 0, {.fairShares = state.range(0) != 0});
    std::vector<UpstreamInstance> list;
    for (std::uint64_t i = 0; i < Upstreams; ++i) {
        list.push_back(UpstreamInstance{.name = InstanceName{"upstream-" + std::to_string(i)},
                                        .service = ServiceName{"drafts"},
                                        .address = Address{.host = "10.0.9.1", .port = 80},
                                        .dataCentre = DataCentreName{"dc-a"},
                                        .version = VersionName{"v1"},
                                        .slots = SlotsPerUpstream});
    }
    server.setList(list, Start);
    v1::RouteTable routes;
    for (std::uint64_t i = 0; i < Organisations; ++i) {
        routes.add_organisations()->set_name(organisation(i));
    }
    server.setRoutes(routes, Start);
    std::vector<v1::EntryState> states(EntryVms);
    std::uint64_t lastId = 0;
    TimePoint now = Start;
    const auto addAsk = [&](std::uint64_t vm) {
        v1::PlacementAsk &ask = *states[vm].add_asks();
        ask.set_id(++lastId);
        ask.set_service("drafts");
        ask.set_rank(static_cast<std::uint32_t>(lastId % Ranks));
        ask.set_organisation(organisation(hasOneOrganisation ? 0 : lastId));
        ask.set_prompt_tokens(PromptTokens);
        ask.set_expected_events(30);
        // The waiting requests are spread over all VMs.
        ask.set_objective_in_ms(3'600'000 + static_cast<std::int32_t>(lastId * 31 % 1'000));
        ask.set_answer_in_ms(7'200'000);
    };
    const auto send = [&](std::uint64_t vm) {
        states[vm].set_incarnation(1);
        states[vm].set_sequence(states[vm].sequence() + 1);
        server.handleState(VmName{VmPrefix + std::to_string(vm)}, states[vm], now);
        states[vm].clear_ended();
    };
    std::size_t grants = 0;
    const auto advance = [&] { return server.advance(now); };
    const auto confirm = [&](const std::vector<PlacementServer::Reply> &replies) {
        for (const auto &[vm, reply] : replies) {
            v1::EntryState &sender = states[std::stoul(vm.value.substr(VmPrefix.size()))];
            for (const v1::PlacementGrant &grant : reply.grants()) {
                auto &asks = *sender.mutable_asks();
                asks.erase(std::ranges::find(asks, grant.id(), &v1::PlacementAsk::id));
                v1::PlacedRequest &placed = *sender.add_placed();
                placed.set_id(grant.id());
                placed.set_upstream(grant.upstream());
                placed.set_prompt_tokens(PromptTokens);
                ++grants;
            }
        }
    };
    for (std::uint64_t vm = 0; vm < EntryVms; ++vm) {
        for (std::uint64_t i = 0; i < (Waiting + Upstreams * SlotsPerUpstream) / EntryVms; ++i) {
            addAsk(vm);
        }
        send(vm);
    }
    confirm(advance());
    std::uint64_t vm = 0;
    const std::size_t grantsBefore = grants;
    for (auto _ : state) {
        state.PauseTiming();
        now += 10us;
        v1::EntryState &sender = states[++vm % EntryVms];
        if (sender.placed_size() > 0) {
            v1::EndedRequest &ended = *sender.add_ended();
            ended.set_id(sender.placed(0).id());
            ended.set_upstream(sender.placed(0).upstream());
            ended.set_outcome(v1::PLACEMENT_SERVED);
            ended.set_pace_ms(20 + static_cast<double>(vm % 10));
            sender.mutable_placed()->DeleteSubrange(0, 1);
        }
        addAsk(vm % EntryVms);
        send(vm % EntryVms);
        state.ResumeTiming();
        const auto replies = advance();
        state.PauseTiming();
        confirm(replies);
        state.ResumeTiming();
    }
    state.counters["waiting"] = static_cast<double>(server.waitingCount());
    state.counters["grants"] = benchmark::Counter(static_cast<double>(grants - grantsBefore), benchmark::Counter::kAvgIterations);
}
BENCHMARK(serverDecision)->Arg(0)->Arg(1)->Arg(2)->Unit(benchmark::kMicrosecond);

}

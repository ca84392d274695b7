#include "policy/pendingqueue.h"
#include "policy/lengthestimate.h"
#include "policy/placement.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace std::chrono_literals;

namespace
{

PendingRequest pending(const std::string &id, std::uint8_t tier, const std::string &organisation, Duration deadline)
{
    return PendingRequest{
        .id = RequestId{id},
        .tier = TierRank{tier},
        .organisation = OrganisationName{organisation},
        .service = ServiceName{"drafting"},
        .arrival = TimePoint{},
        .deadline = TimePoint(deadline),
        .work = TokenCount{5000},
    };
}

std::string firstOf(const PendingQueue &queue)
{
    return queue.first()->id.value;
}

}

TEST_CASE("the queue gives the highest tier first, then the earliest deadline")
{
    PendingQueue queue;
    queue.add(pending("routine", 2, "a", 1s));
    queue.add(pending("late", 0, "a", 9s));
    queue.add(pending("soon", 0, "a", 5s));
    CHECK(firstOf(queue) == "soon");
    CHECK(queue.dequeue(RequestId{"soon"}));
    CHECK(firstOf(queue) == "late");
    CHECK(queue.lowestTier() == TierRank{2});
    CHECK(queue.takeFrom(TierRank{1}).size() == 1);
    CHECK(queue.lowestTier() == TierRank{0});
    CHECK(queue.takeExpired(TimePoint(9s)).size() == 1);
    CHECK(queue.first() == nullptr);
}

TEST_CASE("an organisation that asks much does not keep the others waiting")
{
    // A hall office sends ten long requests with early deadlines before an elder's one. After the first of them the elder is served,
    // for the work of the two would else differ by more than is even.
    PendingQueue queue;
    for (int i = 0; i < 10; ++i) {
        queue.add(pending("hall-" + std::to_string(i), 1, "halls", 1s));
    }
    queue.add(pending("elder", 1, "elders", 20s));
    CHECK(firstOf(queue) == "hall-0");
    queue.dequeue(RequestId{"hall-0"});
    CHECK(firstOf(queue) == "elder");
    CHECK(queue.inOrder(2).size() == 2);
}

TEST_CASE("placement prefers the upstream where the request finishes first and skips one that is too slow")
{
    std::vector<UpstreamState> upstreams{
        {.slots = 8, .window = 8, .tokenMicroseconds = 60'000, .speedMeasured = true},
        {.slots = 8, .window = 8, .tokenMicroseconds = 20'000, .speedMeasured = true},
    };
    PlacementRequest request{.prompt = TokenCount{100}, .answer = TokenCount{100}, .deadline = TimePoint(4s)};
    CHECK(choosePlacement(upstreams, request, {}, TimePoint{}) == 1U);
    upstreams[1].inFlight = 8;
    CHECK_FALSE(choosePlacement(upstreams, request, {}, TimePoint{}));
    request.deadline = TimePoint(8s);
    CHECK(choosePlacement(upstreams, request, {}, TimePoint{}) == 0U);
    // A speed that nobody measured keeps nothing from running.
    request.deadline = TimePoint(1ms);
    upstreams[0].speedMeasured = false;
    CHECK(choosePlacement(upstreams, request, {}, TimePoint{}) == 0U);
}

TEST_CASE("lengths are learned by service and route")
{
    LengthEstimate lengths;
    for (int i = 0; i < 500; ++i) {
        lengths.recordAnswer(ServiceName{"drafting"}, "chat", TokenCount{0}, TokenCount{static_cast<std::uint32_t>(100 + i % 100)});
        lengths.recordAnswer(ServiceName{"drafting"}, "chat", TokenCount{400}, TokenCount{200});
    }
    const std::uint32_t unsaid = lengths.answer(ServiceName{"drafting"}, "chat", TokenCount{0}).value;
    CHECK(unsaid > 150);
    CHECK(unsaid < 230);
    CHECK(lengths.answer(ServiceName{"drafting"}, "chat", TokenCount{100}).value < 60);
    CHECK(lengths.answer(ServiceName{"drafting"}, "completions", TokenCount{0}).value == 64);
}

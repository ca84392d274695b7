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

std::string firstId(const PendingQueue &queue)
{
    return queue.first()->id.value;
}

}

TEST_CASE("the queue serves the highest tier first, then the earliest deadline")
{
    PendingQueue queue;
    queue.add(pending("routine", 2, "a", 1s));
    queue.add(pending("late", 0, "a", 9s));
    queue.add(pending("soon", 0, "a", 5s));
    CHECK(firstId(queue) == "soon");
    CHECK(queue.dequeue(RequestId{"soon"}));
    CHECK(firstId(queue) == "late");
    CHECK(queue.lowestPendingTier() == TierRank{2});
    CHECK(queue.removeTiersFrom(TierRank{1}).size() == 1);
    CHECK(queue.lowestPendingTier() == TierRank{0});
    CHECK(queue.removeExpired(TimePoint(9s)).size() == 1);
    CHECK(queue.first() == nullptr);
}

TEST_CASE("an organisation with many requests does not starve the others")
{
    // One organisation enqueues ten long requests with early deadlines before another one enqueues a single request. After the first of the
    // ten, the single request is next, since the organisations' served work would otherwise differ by more than the tolerance.
    PendingQueue queue;
    for (int i = 0; i < 10; ++i) {
        queue.add(pending("hall-" + std::to_string(i), 1, "halls", 1s));
    }
    queue.add(pending("elder", 1, "elders", 20s));
    CHECK(firstId(queue) == "hall-0");
    queue.dequeue(RequestId{"hall-0"});
    CHECK(firstId(queue) == "elder");
    CHECK(queue.inOrder(2).size() == 2);
}

TEST_CASE("placement chooses the upstream where the request finishes first and skips one that is too slow")
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
    // An upstream whose speed has not been measured is never skipped as too slow.
    request.deadline = TimePoint(1ms);
    upstreams[0].speedMeasured = false;
    CHECK(choosePlacement(upstreams, request, {}, TimePoint{}) == 0U);
}

TEST_CASE("answer lengths are predicted by service and route")
{
    LengthEstimate lengths;
    for (int i = 0; i < 500; ++i) {
        lengths.recordAnswer(ServiceName{"drafting"}, "chat", TokenCount{0}, TokenCount{static_cast<std::uint32_t>(100 + i % 100)});
        lengths.recordAnswer(ServiceName{"drafting"}, "chat", TokenCount{400}, TokenCount{200});
    }
    const std::uint32_t withoutLimit = lengths.answer(ServiceName{"drafting"}, "chat", TokenCount{0}).value;
    CHECK(withoutLimit > 150);
    CHECK(withoutLimit < 230);
    CHECK(lengths.answer(ServiceName{"drafting"}, "chat", TokenCount{100}).value < 60);
    CHECK(lengths.answer(ServiceName{"drafting"}, "completions", TokenCount{0}).value == 64);
}

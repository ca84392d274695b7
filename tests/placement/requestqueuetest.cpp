#include "placement/requestqueue.h"

#include "placement/placementtypes.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr PriorityRank Committee{0};
constexpr PriorityRank Routine{2};

TimePoint after(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

}

TEST_CASE("higher ranks come first and within a rank who must start soonest")
{
    RequestQueue<PlacementId> queue;
    queue.enqueue(PlacementId{1}, Routine, after(10), after(900));
    queue.enqueue(PlacementId{2}, Committee, after(300), after(900));
    queue.enqueue(PlacementId{3}, Committee, after(200), after(900));
    CHECK(queue.inOrder(Start) == std::vector{PlacementId{3}, PlacementId{2}, PlacementId{1}});
}

// What callers see in a burst: once the line is longer than the time to the objective, every answer is late, also long after the
// engines could keep up again. Each place that becomes free goes to a request that is late already, while the next one becomes late.
TEST_CASE("a request that can still be on time goes before a late one of its rank")
{
    RequestQueue<PlacementId> queue;
    queue.enqueue(PlacementId{1}, Committee, after(100), after(900));
    queue.enqueue(PlacementId{2}, Committee, after(400), after(900));
    CHECK(queue.inOrder(after(200)) == std::vector{PlacementId{2}, PlacementId{1}});
    SECTION("but not before a higher rank's late one")
    {
        queue.enqueue(PlacementId{3}, Routine, after(800), after(900));
        CHECK(queue.inOrder(after(200)).back() == PlacementId{3});
    }
}

// What callers see: a committee's draft is refused for want of room while a routine summary goes on waiting and is served a moment later.
// The draft's time to wait ends first, since its objective is shorter.
TEST_CASE("no higher rank is refused while a lower one goes on waiting")
{
    RequestQueue<PlacementId> queue;
    queue.enqueue(PlacementId{1}, Committee, after(100), after(300));
    queue.enqueue(PlacementId{2}, Routine, after(900), after(1500));
    CHECK(queue.removeExpired(after(299)).empty());
    CHECK(queue.removeExpired(after(300)) == std::vector{PlacementId{2}, PlacementId{1}});
    CHECK(queue.empty());
}

TEST_CASE("a lower rank that is overdue leaves higher ones waiting")
{
    RequestQueue<PlacementId> queue;
    queue.enqueue(PlacementId{1}, Committee, after(900), after(1500));
    queue.enqueue(PlacementId{2}, Routine, after(100), after(300));
    CHECK(queue.removeExpired(after(300)) == std::vector{PlacementId{2}});
    queue.remove(PlacementId{1});
    CHECK(queue.empty());
}

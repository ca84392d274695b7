#include "cell/cellscheduler.h"
#include "cell/convert.h"
#include "cell/grantpool.h"
#include "policy/shedding.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace std::chrono_literals;

namespace
{

const ServiceName Drafting{"drafting"};
const CellName Cell{"drafting/dc0"};
const VersionName V1{"v1"};
const VmName First{"entry-1"};
const VmName Second{"entry-2"};

TimePoint at(Duration sinceStart)
{
    return TimePoint(sinceStart);
}

PendingRequest pending(const std::string &id, std::uint8_t tier, Duration deadline = 30s)
{
    return PendingRequest{
        .id = RequestId{id},
        .tier = TierRank{tier},
        .organisation = OrganisationName{"egbe-ijo"},
        .service = Drafting,
        .arrival = at(0s),
        .deadline = at(deadline),
        .work = TokenCount{200},
        .promptTokens = TokenCount{100},
        .answerTokens = TokenCount{100},
    };
}

/// Two entry VMs and a scheduler, with messages carried by hand.
struct Bench
{
    std::uint32_t slots;
    CellScheduler scheduler = makeScheduler(Epoch{1}, {}, at(0s));
    GrantPool books[2] = {GrantPool(First), GrantPool(Second)};
    PendingQueue queues[2];
    Declarations declarations;

    explicit Bench(std::uint32_t upstreamSlots)
        : slots(upstreamSlots)
    {
        scheduler = makeScheduler(Epoch{1}, {}, at(0s));
        for (std::uint32_t i = 0; i < 2; ++i) {
            books[i].setUpstreams({{.name = UpstreamName{"drafting-1"}, .service = Drafting, .version = V1, .cell = Cell, .slots = slots}},
                                  VmShare{.index = i, .count = 2});
        }
    }

    CellScheduler makeScheduler(Epoch epoch, std::set<VmName> vms, TimePoint now) const
    {
        CellScheduler made(CellOptions{.cell = Cell, .epoch = epoch, .entryVms = std::move(vms)}, now);
        made.setUpstreams({{.name = UpstreamName{"drafting-1"}, .version = V1, .slots = slots}}, now);
        return made;
    }

    void report(int vm, CellScheduler &to, TimePoint now)
    {
        for (const CellMessages &message : books[vm].messages(Drafting, queues[vm], V1, now)) {
            to.handleReport(message.report.vm, fromProto(toProto(message.report)), now);
            to.handleDemand(message.demand.vm, fromProto(toProto(message.demand)), now);
        }
    }

    std::vector<std::pair<VmName, Grants>> deliver(CellScheduler &from, TimePoint now)
    {
        auto answers = from.step(now);
        for (const auto &[vm, grants] : answers) {
            books[vm == First ? 0 : 1].handleGrants(fromProto(toProto(grants)), now);
        }
        return answers;
    }

    std::optional<Slot> acquire(int vm, const PendingRequest &request, TimePoint now)
    {
        return books[vm].acquire(request, declarations, V1, now);
    }
};

std::uint32_t granted(const std::vector<std::pair<VmName, Grants>> &answers)
{
    std::uint32_t slots = 0;
    for (const auto &[vm, grants] : answers) {
        for (const Grant &grant : grants.grants) {
            slots += grant.slots;
        }
    }
    return slots;
}

}

TEST_CASE("the highest tier of all VMs is served first")
{
    Bench bench(1);
    bench.queues[0].add(pending("routine", 2));
    bench.queues[1].add(pending("committee", 0));
    bench.report(0, bench.scheduler, at(1ms));
    bench.report(1, bench.scheduler, at(1ms));
    bench.deliver(bench.scheduler, at(2ms));
    CHECK_FALSE(bench.acquire(0, pending("routine", 2), at(3ms)));
    CHECK(bench.acquire(1, pending("committee", 0), at(3ms)));
    CHECK_FALSE(bench.books[1].mayShed(Drafting, TierRank{0}, at(3ms)));
    // Not even the lowest one that waits: a lower one may just have come to another VM.
    CHECK_FALSE(bench.books[0].mayShed(Drafting, TierRank{2}, at(3ms)));
    bench.books[0].setMustShed(Drafting, TierRank{2});
    bench.report(0, bench.scheduler, at(4ms));
    bench.deliver(bench.scheduler, at(5ms));
    CHECK(bench.books[0].mayShed(Drafting, TierRank{2}, at(6ms)));
    CHECK_FALSE(bench.books[0].mayShed(Drafting, TierRank{1}, at(6ms)));
}

TEST_CASE("urgent work takes the slot that was granted to less urgent work")
{
    Bench bench(1);
    bench.queues[0].add(pending("routine", 2));
    bench.report(0, bench.scheduler, at(1ms));
    bench.deliver(bench.scheduler, at(2ms));
    CHECK(bench.acquire(0, pending("committee", 0), at(3ms)));
    CHECK_FALSE(bench.acquire(0, pending("routine", 2), at(3ms)));
}

TEST_CASE("a lost grant loses capacity only until the next report or its expiry")
{
    // The caller sees a short wait. The scheduler's answer with the grant is lost on the way. The VM's next demand asks again, but its
    // report doesn't count the grant in, and the scheduler holds the slot back, for the answer may only be late. When the time after
    // which no VM may use it has passed, the slot is granted anew.
    Bench bench(1);
    bench.queues[0].add(pending("draft", 0));
    bench.report(0, bench.scheduler, at(1ms));
    CHECK(granted(bench.scheduler.step(at(2ms))) == 1);
    bench.report(0, bench.scheduler, at(400ms));
    CHECK(granted(bench.scheduler.step(at(401ms))) == 0);
    bench.report(0, bench.scheduler, at(2000ms));
    CHECK(granted(bench.deliver(bench.scheduler, at(2001ms))) == 1);
    CHECK(bench.acquire(0, pending("draft", 0), at(2002ms)));
}

TEST_CASE("a demand sent before its grant arrived is not granted twice")
{
    Bench bench(4);
    bench.queues[0].add(pending("draft", 0));
    bench.report(0, bench.scheduler, at(1ms));
    const auto answers = bench.scheduler.step(at(2ms));
    CHECK(granted(answers) == 1);
    bench.report(0, bench.scheduler, at(510ms));
    CHECK(granted(bench.scheduler.step(at(511ms))) == 0);
}

TEST_CASE("grants of an old epoch and expired grants are void")
{
    // Two VMs believe that they hold the cell. The new one's grants were taken; those of the old one come late and count for nothing,
    // for the new one knows nothing of them and would grant the same slots.
    Bench bench(1);
    bench.queues[0].add(pending("draft", 0));
    bench.report(0, bench.scheduler, at(1ms));
    const auto old = bench.scheduler.step(at(2ms));
    CellScheduler next = bench.makeScheduler(Epoch{2}, {}, at(2ms));
    bench.queues[0].add(pending("another", 0));
    bench.report(0, next, at(300ms));
    CHECK(granted(bench.deliver(next, at(301ms))) == 1);
    CHECK(bench.acquire(0, pending("draft", 0), at(302ms)));
    bench.books[0].handleGrants(old.front().second, at(303ms));
    CHECK_FALSE(bench.acquire(0, pending("draft", 0), at(304ms)));
}

TEST_CASE("after a take-over nothing is granted before the VMs have said what they hold")
{
    // The scheduler of the cell dies with a request in flight on the only slot. The next one starts knowing nothing: if it granted at
    // once, a second request would wait inside the engine, where no tier counts. It waits for both VMs' reports, and for a silent VM
    // only for a bounded time.
    Bench bench(1);
    bench.queues[0].add(pending("first", 0));
    bench.report(0, bench.scheduler, at(1ms));
    bench.deliver(bench.scheduler, at(2ms));
    REQUIRE(bench.acquire(0, pending("first", 0), at(3ms)));
    bench.queues[0].remove(RequestId{"first"});

    CellScheduler next = bench.makeScheduler(Epoch{2}, {First, Second}, at(1000ms));
    bench.queues[1].add(pending("second", 0));
    bench.report(1, next, at(1001ms));
    CHECK(next.step(at(1002ms)).empty());
    bench.report(0, next, at(1003ms));
    CHECK_FALSE(next.waitsForReports(at(1004ms)));
    CHECK(granted(next.step(at(1004ms))) == 0);

    CellScheduler impatient = bench.makeScheduler(Epoch{3}, {First, Second}, at(2000ms));
    bench.report(1, impatient, at(2001ms));
    CHECK(impatient.waitsForReports(at(2002ms)));
    CHECK_FALSE(impatient.waitsForReports(at(2600ms)));
}

TEST_CASE("without a scheduler the VMs' shares never exceed the slots")
{
    // The cell's scheduler answers nobody. After a second each VM uses its own share, and all of them together no more than there is.
    Bench bench(3);
    std::uint32_t taken = 0;
    for (int vm = 0; vm < 2; ++vm) {
        bench.queues[vm].add(pending("draft", 0));
        CHECK(bench.books[vm].messages(Drafting, bench.queues[vm], V1, at(1ms)).size() == 1);
        CHECK_FALSE(bench.acquire(vm, pending("draft", 0), at(500ms)));
        CHECK(bench.books[vm].isFallback(Cell, at(1200ms)));
        while (bench.acquire(vm, pending("draft", 0), at(1200ms))) {
            ++taken;
        }
    }
    CHECK(taken == 3);
}

TEST_CASE("a VM that must shed has lower tiers refused everywhere first")
{
    // A committee's draft can't be met any more on one VM while routine work waits on another. Routine work is refused there first;
    // only when the answer shows that nothing lower waits may the committee's be shed.
    Bench bench(0);
    bench.queues[0].add(pending("committee", 0));
    bench.queues[1].add(pending("routine", 2));
    bench.books[0].setMustShed(Drafting, TierRank{0});
    bench.report(1, bench.scheduler, at(1ms));
    bench.report(0, bench.scheduler, at(1ms));
    bench.deliver(bench.scheduler, at(2ms));
    CHECK_FALSE(bench.books[0].mayShed(Drafting, TierRank{0}, at(3ms)));
    REQUIRE(bench.books[1].refuseFrom(Drafting, at(3ms)) == TierRank{1});
    CHECK(bench.queues[1].removeTiersFrom(TierRank{1}).size() == 1);
    bench.report(1, bench.scheduler, at(4ms));
    bench.deliver(bench.scheduler, at(5ms));
    bench.report(0, bench.scheduler, at(600ms));
    bench.deliver(bench.scheduler, at(601ms));
    CHECK(bench.books[0].mayShed(Drafting, TierRank{0}, at(602ms)));
}

TEST_CASE("the window shrinks to what the engine runs and grows again")
{
    Bench bench(8);
    const auto window = [&] { return bench.scheduler.upstream(UpstreamName{"drafting-1"})->window; };
    const auto load = [&](std::uint32_t running, std::uint32_t waiting, Duration when) {
        bench.scheduler.handleLoad(UpstreamName{"drafting-1"}, UpstreamLoad{.running = running, .waiting = waiting, .at = at(when)}, at(when));
    };
    load(4, 2, 1s);
    CHECK(window() == 8);
    load(4, 2, 2s);
    CHECK(window() == 4);
    load(4, 0, 3s);
    CHECK(window() == 5);
}

TEST_CASE("nothing is refused on a guess of the engines' speed")
{
    // A caller asks for ten thousand tokens within a minute, on an engine that nobody has measured yet. At a guessed 25 ms a token it
    // could not be done, but the engine may be fast, and what is refused never shows it. It waits, is granted, and is refused only at
    // its deadline. Once the engine is known to be slow, the answer is counted as what can be done.
    Bench bench(1);
    PendingRequest request = pending("long", 0, 60s);
    request.answerTokens = TokenCount{10'000};
    CHECK(feasibleAnswer(bench.books[0], request, at(0s)) == TokenCount{10'000});
    bench.queues[0].add(request);
    CHECK(shedRequests(bench.queues[0], bench.books[0], Drafting, at(59s)).empty());
    CHECK(shedRequests(bench.queues[0], bench.books[0], Drafting, at(60s)).size() == 1);

    bench.queues[0].add(request);
    bench.report(0, bench.scheduler, at(1ms));
    CHECK(granted(bench.deliver(bench.scheduler, at(2ms))) == 1);
    CHECK(bench.books[0].speed(Drafting).perToken == Duration::zero());

    for (int i = 1; i <= 3; ++i) {
        const UpstreamLoad load{.running = 1, .generatedTokens = 50U * static_cast<std::uint64_t>(i), .at = at(1s * i)};
        bench.scheduler.handleLoad(UpstreamName{"drafting-1"}, load, at(1s * i));
    }
    bench.queues[0].add(pending("short", 0));
    bench.report(0, bench.scheduler, at(4s));
    bench.deliver(bench.scheduler, at(4001ms));
    CHECK(bench.books[0].speed(Drafting).perToken == 20ms);
    CHECK(feasibleAnswer(bench.books[0], request, at(0s)).value < 1500);
}

TEST_CASE("a slot whose request has ended serves the next one without a message, until somebody waits")
{
    // A caller sends one request after the other. Only the first one costs a demand and a grant. Then a committee's draft comes to the
    // other VM and finds the only slot kept here: the scheduler asks for it back, and routine work here can't use it any more.
    Bench bench(1);
    bench.queues[0].add(pending("first", 2));
    bench.report(0, bench.scheduler, at(1ms));
    bench.deliver(bench.scheduler, at(2ms));
    auto slot = bench.acquire(0, pending("first", 2), at(3ms));
    REQUIRE(slot);
    bench.queues[0].dequeue(RequestId{"first"});
    for (int i = 0; i < 5; ++i) {
        bench.books[0].release(*slot, at(4ms + 1ms * i));
        slot = bench.acquire(0, pending("next", 2), at(4ms + 1ms * i));
        REQUIRE(slot);
    }
    CHECK(bench.books[0].messages(Drafting, bench.queues[0], V1, at(10ms)).empty());
    bench.report(0, bench.scheduler, at(300ms));
    bench.books[0].release(*slot, at(301ms));

    bench.queues[1].add(pending("committee", 0));
    bench.report(1, bench.scheduler, at(302ms));
    CHECK(granted(bench.deliver(bench.scheduler, at(303ms))) == 0);
    CHECK_FALSE(bench.acquire(0, pending("next", 2), at(304ms)));
    bench.report(0, bench.scheduler, at(305ms));
    CHECK(granted(bench.deliver(bench.scheduler, at(306ms))) == 1);
    CHECK(bench.acquire(1, pending("committee", 0), at(307ms)));
}

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

/// Two entry VMs and the scheduler of a cell with one upstream. The tests pass the messages between them.
struct CellFixture
{
    std::uint32_t slots;
    CellScheduler scheduler = makeScheduler(Epoch{1}, {}, at(0s));
    GrantPool pools[2] = {GrantPool(First), GrantPool(Second)};
    PendingQueue queues[2];
    Declarations declarations;

    explicit CellFixture(std::uint32_t upstreamSlots)
        : slots(upstreamSlots)
    {
        scheduler = makeScheduler(Epoch{1}, {}, at(0s));
        for (std::uint32_t i = 0; i < 2; ++i) {
            pools[i].setUpstreams({{.name = UpstreamName{"drafting-1"}, .service = Drafting, .version = V1, .cell = Cell, .slots = slots}},
                                  VmShare{.index = i, .count = 2});
        }
    }

    CellScheduler makeScheduler(Epoch epoch, std::set<VmName> vms, TimePoint now) const
    {
        CellScheduler created(CellOptions{.cell = Cell, .epoch = epoch, .entryVms = std::move(vms)}, now);
        created.setUpstreams({{.name = UpstreamName{"drafting-1"}, .version = V1, .slots = slots}}, now);
        return created;
    }

    /// Passes a VM's demand and report to a scheduler.
    void sendMessages(int vm, CellScheduler &receiver, TimePoint now)
    {
        for (const CellMessages &message : pools[vm].messages(Drafting, queues[vm], V1, now)) {
            receiver.handleReport(message.report.vm, fromProto(toProto(message.report)), now);
            receiver.handleDemand(message.demand.vm, fromProto(toProto(message.demand)), now);
        }
    }

    /// Runs a scheduler step, passes its replies to the VMs and returns them.
    std::vector<std::pair<VmName, Grants>> stepAndDeliver(CellScheduler &sender, TimePoint now)
    {
        auto answers = sender.step(now);
        for (const auto &[vm, grants] : answers) {
            pools[vm == First ? 0 : 1].handleGrants(fromProto(toProto(grants)), now);
        }
        return answers;
    }

    std::optional<Slot> acquire(int vm, const PendingRequest &request, TimePoint now)
    {
        return pools[vm].acquire(request, declarations, V1, now);
    }
};

std::uint32_t grantedSlots(const std::vector<std::pair<VmName, Grants>> &answers)
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

TEST_CASE("the scheduler serves the highest tier of all VMs first")
{
    CellFixture fixture(1);
    fixture.queues[0].add(pending("routine", 2));
    fixture.queues[1].add(pending("committee", 0));
    fixture.sendMessages(0, fixture.scheduler, at(1ms));
    fixture.sendMessages(1, fixture.scheduler, at(1ms));
    fixture.stepAndDeliver(fixture.scheduler, at(2ms));
    CHECK_FALSE(fixture.acquire(0, pending("routine", 2), at(3ms)));
    CHECK(fixture.acquire(1, pending("committee", 0), at(3ms)));
    CHECK_FALSE(fixture.pools[1].mayShed(Drafting, TierRank{0}, at(3ms)));
    // Not even requests of the lowest waiting tier may be shed before lower tiers are refused: one of them may just have reached another VM.
    CHECK_FALSE(fixture.pools[0].mayShed(Drafting, TierRank{2}, at(3ms)));
    fixture.pools[0].setMustShed(Drafting, TierRank{2});
    fixture.sendMessages(0, fixture.scheduler, at(4ms));
    fixture.stepAndDeliver(fixture.scheduler, at(5ms));
    CHECK(fixture.pools[0].mayShed(Drafting, TierRank{2}, at(6ms)));
    CHECK_FALSE(fixture.pools[0].mayShed(Drafting, TierRank{1}, at(6ms)));
}

TEST_CASE("a request uses the slot that was granted for a request of a lower tier")
{
    CellFixture fixture(1);
    fixture.queues[0].add(pending("routine", 2));
    fixture.sendMessages(0, fixture.scheduler, at(1ms));
    fixture.stepAndDeliver(fixture.scheduler, at(2ms));
    CHECK(fixture.acquire(0, pending("committee", 0), at(3ms)));
    CHECK_FALSE(fixture.acquire(0, pending("routine", 2), at(3ms)));
}

TEST_CASE("the slot of a lost grant is granted again after the grant has expired")
{
    // The scheduler's reply with the grant is lost. The VM's next demand contains the request again, and its report does not acknowledge the
    // grant. The scheduler withholds the slot, since the reply may only be delayed, and grants it again after the time at which the grant can't
    // be used any more.
    CellFixture fixture(1);
    fixture.queues[0].add(pending("draft", 0));
    fixture.sendMessages(0, fixture.scheduler, at(1ms));
    CHECK(grantedSlots(fixture.scheduler.step(at(2ms))) == 1);
    fixture.sendMessages(0, fixture.scheduler, at(400ms));
    CHECK(grantedSlots(fixture.scheduler.step(at(401ms))) == 0);
    fixture.sendMessages(0, fixture.scheduler, at(2000ms));
    CHECK(grantedSlots(fixture.stepAndDeliver(fixture.scheduler, at(2001ms))) == 1);
    CHECK(fixture.acquire(0, pending("draft", 0), at(2002ms)));
}

TEST_CASE("a demand that was sent before its grant arrived is not granted twice")
{
    CellFixture fixture(4);
    fixture.queues[0].add(pending("draft", 0));
    fixture.sendMessages(0, fixture.scheduler, at(1ms));
    const auto answers = fixture.scheduler.step(at(2ms));
    CHECK(grantedSlots(answers) == 1);
    fixture.sendMessages(0, fixture.scheduler, at(510ms));
    CHECK(grantedSlots(fixture.scheduler.step(at(511ms))) == 0);
}

TEST_CASE("grants of an old epoch are ignored")
{
    // Two VMs schedule the same cell. Grants of the old scheduler that arrive after those of the new one must be ignored, since the new one does
    // not know of them and would grant the same slots.
    CellFixture fixture(1);
    fixture.queues[0].add(pending("draft", 0));
    fixture.sendMessages(0, fixture.scheduler, at(1ms));
    const auto oldGrants = fixture.scheduler.step(at(2ms));
    CellScheduler next = fixture.makeScheduler(Epoch{2}, {}, at(2ms));
    fixture.queues[0].add(pending("another", 0));
    fixture.sendMessages(0, next, at(300ms));
    CHECK(grantedSlots(fixture.stepAndDeliver(next, at(301ms))) == 1);
    CHECK(fixture.acquire(0, pending("draft", 0), at(302ms)));
    fixture.pools[0].handleGrants(oldGrants.front().second, at(303ms));
    CHECK_FALSE(fixture.acquire(0, pending("draft", 0), at(304ms)));
}

TEST_CASE("after a takeover nothing is granted until the VMs have reported the slots they hold, or until the timeout")
{
    // The scheduler of the cell crashes while a request runs on the only slot. If its successor granted the slot without the VMs' reports, a
    // second request would wait inside the engine, which has no tiers. It waits for the reports of both VMs, up to a timeout.
    CellFixture fixture(1);
    fixture.queues[0].add(pending("first", 0));
    fixture.sendMessages(0, fixture.scheduler, at(1ms));
    fixture.stepAndDeliver(fixture.scheduler, at(2ms));
    REQUIRE(fixture.acquire(0, pending("first", 0), at(3ms)));
    fixture.queues[0].remove(RequestId{"first"});

    CellScheduler next = fixture.makeScheduler(Epoch{2}, {First, Second}, at(1000ms));
    fixture.queues[1].add(pending("second", 0));
    fixture.sendMessages(1, next, at(1001ms));
    CHECK(next.step(at(1002ms)).empty());
    fixture.sendMessages(0, next, at(1003ms));
    CHECK_FALSE(next.waitsForReports(at(1004ms)));
    CHECK(grantedSlots(next.step(at(1004ms))) == 0);

    CellScheduler withoutAllReports = fixture.makeScheduler(Epoch{3}, {First, Second}, at(2000ms));
    fixture.sendMessages(1, withoutAllReports, at(2001ms));
    CHECK(withoutAllReports.waitsForReports(at(2002ms)));
    CHECK_FALSE(withoutAllReports.waitsForReports(at(2600ms)));
}

TEST_CASE("without a scheduler the VMs together use no more than the cell's slots")
{
    // The cell's scheduler does not reply. After a second each VM uses its fixed share of the slots, and the shares add up to the slots.
    CellFixture fixture(3);
    std::uint32_t acquired = 0;
    for (int vm = 0; vm < 2; ++vm) {
        fixture.queues[vm].add(pending("draft", 0));
        CHECK(fixture.pools[vm].messages(Drafting, fixture.queues[vm], V1, at(1ms)).size() == 1);
        CHECK_FALSE(fixture.acquire(vm, pending("draft", 0), at(500ms)));
        CHECK(fixture.pools[vm].isFallback(Cell, at(1200ms)));
        while (fixture.acquire(vm, pending("draft", 0), at(1200ms))) {
            ++acquired;
        }
    }
    CHECK(acquired == 3);
}

TEST_CASE("a VM may shed a tier only after lower tiers are refused on all VMs and none waits")
{
    // A request of the highest tier can't meet its deadline on one VM while one of a lower tier waits on another. The lower tier is refused
    // first; the higher one may be shed only when a reply shows that no lower tier waits.
    CellFixture fixture(0);
    fixture.queues[0].add(pending("committee", 0));
    fixture.queues[1].add(pending("routine", 2));
    fixture.pools[0].setMustShed(Drafting, TierRank{0});
    fixture.sendMessages(1, fixture.scheduler, at(1ms));
    fixture.sendMessages(0, fixture.scheduler, at(1ms));
    fixture.stepAndDeliver(fixture.scheduler, at(2ms));
    CHECK_FALSE(fixture.pools[0].mayShed(Drafting, TierRank{0}, at(3ms)));
    REQUIRE(fixture.pools[1].refuseFrom(Drafting, at(3ms)) == TierRank{1});
    CHECK(fixture.queues[1].removeTiersFrom(TierRank{1}).size() == 1);
    fixture.sendMessages(1, fixture.scheduler, at(4ms));
    fixture.stepAndDeliver(fixture.scheduler, at(5ms));
    fixture.sendMessages(0, fixture.scheduler, at(600ms));
    fixture.stepAndDeliver(fixture.scheduler, at(601ms));
    CHECK(fixture.pools[0].mayShed(Drafting, TierRank{0}, at(602ms)));
}

TEST_CASE("an upstream's window shrinks to the requests that its engine runs and grows again")
{
    CellFixture fixture(8);
    const auto window = [&] { return fixture.scheduler.upstream(UpstreamName{"drafting-1"})->window; };
    const auto reportLoad = [&](std::uint32_t running, std::uint32_t waiting, Duration when) {
        fixture.scheduler.handleLoad(UpstreamName{"drafting-1"}, UpstreamLoad{.running = running, .waiting = waiting, .at = at(when)}, at(when));
    };
    reportLoad(4, 2, 1s);
    CHECK(window() == 8);
    reportLoad(4, 2, 2s);
    CHECK(window() == 4);
    reportLoad(4, 0, 3s);
    CHECK(window() == 5);
}

TEST_CASE("no request is refused before its deadline while no engine's speed has been measured")
{
    // A request for ten thousand tokens within a minute, on an engine whose speed has not been measured. At the default of 25 ms per token it
    // would miss its deadline, but the engine may be fast, which a refused request would never show. The request waits, is granted, and is refused
    // only at its deadline. Once the engine has been measured as slow, the predicted answer is limited to the feasible length.
    CellFixture fixture(1);
    PendingRequest request = pending("long", 0, 60s);
    request.answerTokens = TokenCount{10'000};
    CHECK(feasibleAnswer(fixture.pools[0], request, at(0s)) == TokenCount{10'000});
    fixture.queues[0].add(request);
    CHECK(shedRequests(fixture.queues[0], fixture.pools[0], Drafting, at(59s)).empty());
    CHECK(shedRequests(fixture.queues[0], fixture.pools[0], Drafting, at(60s)).size() == 1);

    fixture.queues[0].add(request);
    fixture.sendMessages(0, fixture.scheduler, at(1ms));
    CHECK(grantedSlots(fixture.stepAndDeliver(fixture.scheduler, at(2ms))) == 1);
    CHECK(fixture.pools[0].speed(Drafting).perToken == Duration::zero());

    for (int i = 1; i <= 3; ++i) {
        const UpstreamLoad reportLoad{.running = 1, .generatedTokens = 50U * static_cast<std::uint64_t>(i), .at = at(1s * i)};
        fixture.scheduler.handleLoad(UpstreamName{"drafting-1"}, reportLoad, at(1s * i));
    }
    fixture.queues[0].add(pending("short", 0));
    fixture.sendMessages(0, fixture.scheduler, at(4s));
    fixture.stepAndDeliver(fixture.scheduler, at(4001ms));
    CHECK(fixture.pools[0].speed(Drafting).perToken == 20ms);
    CHECK(feasibleAnswer(fixture.pools[0], request, at(0s)).value < 1500);
}

TEST_CASE("the slot of an ended request is used by the next one without a message, until a request of another VM waits")
{
    // Of several consecutive requests on the first VM only the first one needs a demand and a grant. Then a request of a higher tier arrives at the
    // second VM, while the first VM keeps the only slot. The scheduler requests the slot back, and the first VM can't use it any more.
    CellFixture fixture(1);
    fixture.queues[0].add(pending("first", 2));
    fixture.sendMessages(0, fixture.scheduler, at(1ms));
    fixture.stepAndDeliver(fixture.scheduler, at(2ms));
    auto slot = fixture.acquire(0, pending("first", 2), at(3ms));
    REQUIRE(slot);
    fixture.queues[0].dequeue(RequestId{"first"});
    for (int i = 0; i < 5; ++i) {
        fixture.pools[0].release(*slot, at(4ms + 1ms * i));
        slot = fixture.acquire(0, pending("next", 2), at(4ms + 1ms * i));
        REQUIRE(slot);
    }
    CHECK(fixture.pools[0].messages(Drafting, fixture.queues[0], V1, at(10ms)).empty());
    fixture.sendMessages(0, fixture.scheduler, at(300ms));
    fixture.pools[0].release(*slot, at(301ms));

    fixture.queues[1].add(pending("committee", 0));
    fixture.sendMessages(1, fixture.scheduler, at(302ms));
    CHECK(grantedSlots(fixture.stepAndDeliver(fixture.scheduler, at(303ms))) == 0);
    CHECK_FALSE(fixture.acquire(0, pending("next", 2), at(304ms)));
    fixture.sendMessages(0, fixture.scheduler, at(305ms));
    CHECK(grantedSlots(fixture.stepAndDeliver(fixture.scheduler, at(306ms))) == 1);
    CHECK(fixture.acquire(1, pending("committee", 0), at(307ms)));
}

// Guards against a trial that fails for a fault of its neighbour.
TEST_CASE("a VM sends no second request under a trial to an upstream that runs one")
{
    CellFixture fixture(8);
    PendingRequest onTrial = pending("on-trial", 0);
    onTrial.isOnTrial = true;
    // Without a scheduler the VM uses its share of the slots.
    fixture.queues[0].add(onTrial);
    REQUIRE(fixture.pools[0].messages(Drafting, fixture.queues[0], V1, at(1ms)).size() == 1);
    const TimePoint now = at(1200ms);
    const std::optional<Slot> slot = fixture.acquire(0, onTrial, now);
    REQUIRE(slot);
    CHECK_FALSE(fixture.acquire(0, onTrial, now));
    CHECK(fixture.acquire(0, pending("draft", 0), now));
    fixture.pools[0].release(*slot, now);
    CHECK(fixture.acquire(0, onTrial, now));
}

#include "placement/upstreampool.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
const DataCentreName LocalDataCentre{"dc-a"};

UpstreamInstance instance(const std::string &name, const std::string &dataCentre = "dc-a", std::uint32_t slots = 2)
{
    return UpstreamInstance{
        .name = InstanceName{name},
        .service = ServiceName{"drafts"},
        .address = Address{.host = "10.0.0.1", .port = 80},
        .dataCentre = DataCentreName{dataCentre},
        .version = VersionName{"v1"},
        .slots = slots,
    };
}

const PlacementQuery AnyDraft{.service = ServiceName{"drafts"}, .versions = {}, .promptTokens = 0, .tried = {}};

std::string chosen(const UpstreamPool &pool, TimePoint now, const PlacementQuery &query = AnyDraft)
{
    const Placement placement = pool.choose(query, now);
    return placement.upstream ? placement.upstream->name.value : "";
}

v1::LoadNotice noticeOf(std::uint64_t incarnation, std::uint64_t sequence, const std::string &upstream, std::uint32_t inFlight)
{
    v1::LoadNotice notice;
    notice.set_incarnation(incarnation);
    notice.set_sequence(sequence);
    v1::UpstreamLoad &load = *notice.add_loads();
    load.set_upstream(upstream);
    load.set_in_flight(inFlight);
    return notice;
}

}

// What callers see in a burst: first events take ten times as long. Each VM sees room at an engine that the other VMs have filled, and the
// engine, which knows no priorities, lets them wait inside.
TEST_CASE("places that other VMs have taken are not taken again")
{
    UpstreamPool pool(LocalDataCentre);
    pool.setList({instance("a"), instance("b")});
    pool.handleNotice(VmName{"vm-2"}, noticeOf(1, 1, "a", 2), Start);
    CHECK(chosen(pool, Start) == "b");
    pool.handleNotice(VmName{"vm-3"}, noticeOf(1, 1, "b", 2), Start);
    CHECK(chosen(pool, Start).empty());
    SECTION("a later notice of a VM replaces its earlier one and an overtaken one changes nothing")
    {
        pool.handleNotice(VmName{"vm-2"}, noticeOf(1, 3, "a", 1), Start);
        pool.handleNotice(VmName{"vm-2"}, noticeOf(1, 2, "a", 2), Start);
        CHECK(chosen(pool, Start) == "a");
    }
    SECTION("a restarted VM counts its notices from one again")
    {
        pool.handleNotice(VmName{"vm-2"}, noticeOf(1, 9, "a", 2), Start);
        pool.handleNotice(VmName{"vm-2"}, noticeOf(2, 1, "a", 1), Start);
        CHECK(chosen(pool, Start) == "a");
    }
    SECTION("a VM that fell silent holds no place for ever")
    {
        pool.expireTimedOut(Start + std::chrono::seconds(2));
        CHECK_FALSE(chosen(pool, Start + std::chrono::seconds(2)).empty());
    }
    SECTION("a new list keeps what the VMs told")
    {
        pool.setList({instance("a"), instance("b"), instance("c")});
        CHECK(chosen(pool, Start) == "c");
    }
}

TEST_CASE("an upstream that leaves gets nothing from the list that says so on")
{
    UpstreamPool pool(LocalDataCentre);
    UpstreamInstance leaving = instance("a");
    leaving.draining = true;
    pool.setList({leaving});
    CHECK(chosen(pool, Start).empty());
}

// What callers see: an upstream that fails everything in no time looks like the fastest and gets more and more.
TEST_CASE("an upstream that fails several requests in a row rests and is tried again later")
{
    UpstreamPool pool(LocalDataCentre);
    pool.setList({instance("a"), instance("b", "dc-b")});
    pool.recordFailure(InstanceName{"a"}, Start);
    CHECK(chosen(pool, Start) == "a");
    pool.recordFailure(InstanceName{"a"}, Start);
    CHECK(chosen(pool, Start) == "b");
    CHECK(chosen(pool, Start + std::chrono::seconds(5)) == "a");
}

TEST_CASE("a request leaves its data centre only when it gains by it")
{
    UpstreamPool pool(LocalDataCentre);
    pool.setList({instance("near"), instance("far", "dc-b")});
    pool.recordPace(InstanceName{"near"}, 50);
    pool.recordPace(InstanceName{"far"}, 45);
    CHECK(chosen(pool, Start) == "near");
    pool.acquireSlot(InstanceName{"near"}, 0);
    CHECK(chosen(pool, Start) == "far");
}

TEST_CASE("a long prompt goes where less is to be read before it")
{
    UpstreamPool pool(LocalDataCentre);
    pool.setList({instance("a"), instance("b")});
    for (const char *name : {"a", "b"}) {
        pool.recordPace(InstanceName{name}, 20);
    }
    for (int i = 1; i <= 20; ++i) {
        pool.recordFirstEvent(InstanceName{"a"}, 1000.0 * i, 30 + 10.0 * i);
    }
    pool.acquireSlot(InstanceName{"a"}, 40'000);
    pool.acquireSlot(InstanceName{"b"}, 100);
    const PlacementQuery longPrompt{.service = ServiceName{"drafts"}, .versions = {}, .promptTokens = 5000, .tried = {}};
    CHECK(chosen(pool, Start, longPrompt) == "b");
    const auto predictedTime = std::chrono::duration<double, std::milli>(pool.idleFirstEventTime(ServiceName{"drafts"}, 5000)).count();
    CHECK(predictedTime == Approx(80).margin(1));
}

// What operators see: a version that was taken back goes on getting traffic, or one in its first minutes gets more than its share.
TEST_CASE("a request goes only to the version it is for")
{
    UpstreamPool pool(LocalDataCentre);
    UpstreamInstance next = instance("new");
    next.version = VersionName{"v2"};
    pool.setList({instance("old"), next});
    PlacementQuery query = AnyDraft;
    query.versions = VersionSplit{.target = VersionName{"v2"}, .toTarget = false};
    CHECK(chosen(pool, Start, query) == "old");
    query.versions.toTarget = true;
    CHECK(chosen(pool, Start, query) == "new");
}

// Pattern: a burst on engines of which a third are 4.4 times slower (speeds 0.68 and 3). What callers see: streams on the slow ones stand
// still for over 200 ms while a long prompt is read beside them, so all of them are late; the same prompts do no harm on the fast ones.
// Figures: events 20 ms apart on a fast engine and 65 on a slow one, prompts read at 160 tokens a millisecond, longest pauses three times the mean ones.
TEST_CASE("a prompt whose reading would make the streams beside it pause too long goes elsewhere")
{
    UpstreamPool pool(LocalDataCentre);
    pool.setList({instance("fast", "dc-a", 3), instance("slow", "dc-a", 3)});
    pool.recordPace(InstanceName{"fast"}, 20);
    pool.recordPace(InstanceName{"slow"}, 65);
    for (int i = 1; i <= 20; ++i) {
        pool.recordFirstEvent(InstanceName{"fast"}, 1000.0 * i, 25 + 6.25 * i);
        pool.recordPauses(InstanceName{"fast"}, 20, 60);
    }
    pool.acquireSlot(InstanceName{"fast"}, 0);
    pool.acquireSlot(InstanceName{"fast"}, 0);
    pool.acquireSlot(InstanceName{"slow"}, 0);
    const auto query = [](std::uint32_t promptTokens) {
        return PlacementQuery{.service = ServiceName{"drafts"}, .versions = {}, .promptTokens = promptTokens, .tried = {}, .maxPauseMs = 200};
    };
    CHECK(chosen(pool, Start, query(20'000)) == "fast");
    pool.acquireSlot(InstanceName{"fast"}, 0);
    CHECK(chosen(pool, Start, query(20'000)).empty());
    CHECK(chosen(pool, Start, query(1000)) == "slow");
    SECTION("nobody is disturbed on an engine that has nothing to do")
    {
        pool.releaseSlot(InstanceName{"slow"});
        CHECK(chosen(pool, Start, query(20'000)) == "slow");
    }
    SECTION("prompts that are not read yet count with it")
    {
        pool.acquireSlot(InstanceName{"slow"}, 5000);
        CHECK(chosen(pool, Start, query(1000)).empty());
    }
}

// Pattern: engines of three speeds under load, answers whose lengths differ a hundredfold. What the caller sees: nothing, after its whole time limit. Its long
// answer was given to a slow engine, which would have needed twice the time, and held a place there all the while.
TEST_CASE("a long answer goes where it ends before its deadline")
{
    UpstreamPool pool(LocalDataCentre);
    pool.setList({instance("fast"), instance("slow")});
    pool.recordPace(InstanceName{"fast"}, 12);
    pool.recordPace(InstanceName{"slow"}, 60);
    PlacementQuery query = AnyDraft;
    query.expectedEvents = 300;
    query.timeToDeadline = std::chrono::seconds(12);
    pool.acquireSlot(InstanceName{"fast"}, 0);
    pool.acquireSlot(InstanceName{"fast"}, 0);
    CHECK(chosen(pool, Start, query).empty());
    SECTION("a short one takes the place on the slow engine")
    {
        query.expectedEvents = 50;
        CHECK(chosen(pool, Start, query) == "slow");
    }
    SECTION("one that no engine would end in time is tried, for the estimate may be wrong")
    {
        query.expectedEvents = 3000;
        CHECK(chosen(pool, Start, query) == "slow");
    }
    SECTION("it waits for no engine that is out of use")
    {
        pool.recordFailure(InstanceName{"fast"}, Start);
        pool.recordFailure(InstanceName{"fast"}, Start);
        CHECK(chosen(pool, Start, query) == "slow");
    }
}

// Pattern: all VMs restart at once and know no engine's speed. What callers see: first events and pauses five times as long as before, until the first answers
// end. The slowest engines, taken for the fastest until then, had been filled.
TEST_CASE("an engine of unknown speed gets a few requests until its first events tell")
{
    UpstreamPool pool(LocalDataCentre);
    pool.setList({instance("known", "dc-a", 9), instance("new", "dc-a", 9)});
    pool.recordPace(InstanceName{"known"}, 20);
    for (int i = 1; i <= 20; ++i) {
        pool.recordFirstEvent(InstanceName{"known"}, 1000.0 * i, 30 + 10.0 * i);
    }
    CHECK_FALSE(pool.knowsPace(InstanceName{"new"}));
    for (int i = 0; i < 3; ++i) {
        pool.acquireSlot(InstanceName{"new"}, 0);
    }
    for (int i = 0; i < 6; ++i) {
        pool.acquireSlot(InstanceName{"known"}, 0);
    }
    CHECK(chosen(pool, Start) == "known");
    pool.recordEarlyPace(InstanceName{"new"}, 10);
    CHECK(pool.knowsPace(InstanceName{"new"}));
    CHECK(chosen(pool, Start) == "new");
    SECTION("ended answers go before first events")
    {
        pool.recordPace(InstanceName{"new"}, 10);
        pool.recordEarlyPace(InstanceName{"new"}, 500);
        CHECK(chosen(pool, Start) == "new");
    }
}

namespace
{

/// A placement server with so many upstreams, and the notices that it sends.
struct NoticeSender
{
    explicit NoticeSender(int upstreams)
        : pool(LocalDataCentre)
    {
        std::vector<UpstreamInstance> list;
        for (int i = 0; i < upstreams; ++i) {
            list.push_back(instance(nameOf(i)));
        }
        pool.setList(list);
    }

    static std::string nameOf(int upstream)
    {
        return "i-" + std::to_string(10'000'000 + upstream);
    }

    v1::LoadNotice next(bool forBackup = false)
    {
        v1::LoadNotice notice;
        notice.set_incarnation(1);
        notice.set_sequence(++sequence);
        pool.writeNotice(notice, forBackup);
        return notice;
    }

    UpstreamPool pool;
    std::uint64_t sequence = 0;
};

}

// Guards against notices that grow with all upstreams: with 3,000 they were larger than a datagram, and no server heard of another.
TEST_CASE("a notice of a server with 3,000 upstreams tells what changed, and a part of the rest")
{
    constexpr int Upstreams = 3'000;
    constexpr std::size_t MostBytes = 16 << 10;
    NoticeSender sender(Upstreams);
    for (int i = 0; i < Upstreams; ++i) {
        sender.pool.acquireSlot(InstanceName{NoticeSender::nameOf(i)}, 4'000);
        sender.pool.recordPace(InstanceName{NoticeSender::nameOf(i)}, 20);
    }
    sender.next(true);
    for (int i = 0; i < 40; ++i) {
        CHECK(sender.next(i % 10 == 9).ByteSizeLong() <= (i % 10 == 9 ? 2 : 1) * MostBytes);
    }
    sender.pool.recordPrefillDone(InstanceName{NoticeSender::nameOf(7)}, 4'000);
    const v1::LoadNotice changed = sender.next();
    CHECK(std::ranges::any_of(changed.loads(), [](const v1::UpstreamLoad &load) { return load.upstream() == NoticeSender::nameOf(7); }));
}

// Guards against places that count as taken, or as free, for as long as a server runs, since one notice was lost.
TEST_CASE("what a lost notice told is told again soon")
{
    NoticeSender sender(2);
    UpstreamPool receiver(LocalDataCentre);
    receiver.setList({instance(NoticeSender::nameOf(0)), instance(NoticeSender::nameOf(1))});
    const InstanceName name{NoticeSender::nameOf(0)};
    const VmName vm{"vm-2"};
    sender.pool.acquireSlot(name, 100);
    sender.next(); // Lost.
    SECTION("a load")
    {
        for (int i = 0; i < 16; ++i) {
            receiver.handleNotice(vm, sender.next(), Start);
        }
        CHECK(receiver.inFlight(name) == 1);
    }
    SECTION("the end of a load, lost both times that it was told")
    {
        for (int i = 0; i < 16; ++i) {
            receiver.handleNotice(vm, sender.next(), Start);
        }
        sender.pool.releaseSlot(name);
        for (int i = 0; i < 16; ++i) {
            sender.next();
        }
        CHECK(receiver.inFlight(name) == 1);
        for (int i = 0; i < 100; ++i) {
            receiver.handleNotice(vm, sender.next(), Start);
        }
        CHECK(receiver.inFlight(name) == 0);
    }
}

// Guards against a server that takes over and sends to engines that are full or slow, since it only hears what changes.
TEST_CASE("a backup that hears few notices knows all loads and paces after some of them")
{
    NoticeSender sender(100);
    UpstreamPool receiver(LocalDataCentre);
    std::vector<UpstreamInstance> list;
    for (int i = 0; i < 100; ++i) {
        const InstanceName name{NoticeSender::nameOf(i)};
        list.push_back(instance(name.value));
        sender.pool.acquireSlot(name, 100);
        sender.pool.recordPace(name, 20);
    }
    receiver.setList(list);
    sender.next();
    for (int i = 0; i < 4; ++i) {
        for (int j = 0; j < 9; ++j) {
            sender.next();
        }
        receiver.handleNotice(VmName{"vm-2"}, sender.next(true), Start);
    }
    for (const UpstreamInstance &upstream : list) {
        CHECK(receiver.inFlight(upstream.name) == 1);
        CHECK(receiver.knowsPace(upstream.name));
    }
}

// Guards against new work for an upstream that left while only the nearer part of the list was read.
TEST_CASE("farther upstreams are used while their part of the list is fresh, or while the list can't be read")
{
    UpstreamPool pool(LocalDataCentre);
    pool.setList({instance("near"), instance("far", "dc-b")}, Start);
    pool.acquireSlot(InstanceName{"near"}, 0);
    pool.acquireSlot(InstanceName{"near"}, 0);
    CHECK(chosen(pool, Start) == "far");
    const TimePoint later = Start + std::chrono::milliseconds(2'100);
    pool.setListPart(LocalDataCentre, {instance("near")}, later);
    CHECK(pool.inFlight(InstanceName{"near"}) == 2);
    CHECK(chosen(pool, later).empty());
    CHECK_FALSE(pool.hasFreeSlot(ServiceName{"drafts"}, later));
    SECTION("the part is read")
    {
        pool.setListPart(DataCentreName{"dc-b"}, {instance("far", "dc-b"), instance("further", "dc-b")}, later);
        CHECK_FALSE(chosen(pool, later).empty());
        pool.setListPart(DataCentreName{"dc-b"}, {}, later);
        CHECK(chosen(pool, later).empty());
    }
    SECTION("the list can't be read")
    {
        pool.setListReadable(false);
        CHECK(chosen(pool, later) == "far");
    }
}

// Guards against a data centre that refuses callers beside free upstreams of the others, since nobody reads their part of the list.
TEST_CASE("a choice says when a farther upstream might be better")
{
    UpstreamPool pool(LocalDataCentre);
    pool.setList({instance("near")}, Start);
    CHECK_FALSE(pool.choose(AnyDraft, Start).remoteMayHelp);
    pool.acquireSlot(InstanceName{"near"}, 0);
    CHECK(pool.choose(AnyDraft, Start).remoteMayHelp);
    pool.acquireSlot(InstanceName{"near"}, 0);
    CHECK(pool.choose(AnyDraft, Start).remoteMayHelp);
    CHECK_FALSE(pool.choose(AnyDraft, Start).upstream);
}

#include "placement/upstreampool.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

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

// Guards against first events that take ten times as long in a burst: each VM sees free slots at an engine that the other VMs have filled, and the
// engine, which knows no priorities, queues the excess requests internally.
TEST_CASE("slots used by other VMs' requests are not free")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
    pool.setList({instance("a"), instance("b")});
    pool.handleNotice(VmName{"vm-2"}, noticeOf(1, 1, "a", 2), Start);
    CHECK(chosen(pool, Start) == "b");
    pool.handleNotice(VmName{"vm-3"}, noticeOf(1, 1, "b", 2), Start);
    CHECK(chosen(pool, Start).empty());
    SECTION("a later notice of a VM replaces its earlier one, and one that arrives out of order is ignored")
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
    SECTION("the slots of a VM that timed out become free")
    {
        pool.expireTimedOut(Start + std::chrono::seconds(2));
        CHECK_FALSE(chosen(pool, Start + std::chrono::seconds(2)).empty());
    }
    SECTION("a new list keeps the loads reported by VMs")
    {
        pool.setList({instance("a"), instance("b"), instance("c")});
        CHECK(chosen(pool, Start) == "c");
    }
}

TEST_CASE("a draining upstream gets no requests")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
    UpstreamInstance leaving = instance("a");
    leaving.draining = true;
    pool.setList({leaving});
    CHECK(chosen(pool, Start).empty());
}

// Guards against an upstream that fails every request at once, which makes it look like the fastest and attracts more and more requests.
TEST_CASE("an upstream that fails several requests in a row is ejected and used again later")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
    pool.setList({instance("a"), instance("b", "dc-b")});
    pool.recordFailure(InstanceName{"a"}, Start);
    CHECK(chosen(pool, Start) == "a");
    pool.recordFailure(InstanceName{"a"}, Start);
    CHECK(chosen(pool, Start) == "b");
    CHECK(chosen(pool, Start + std::chrono::seconds(5)) == "a");
}

TEST_CASE("a request leaves its data centre only when a remote upstream is sufficiently faster")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
    pool.setList({instance("near"), instance("far", "dc-b")});
    pool.recordPace(InstanceName{"near"}, 50);
    pool.recordPace(InstanceName{"far"}, 45);
    CHECK(chosen(pool, Start) == "near");
    pool.acquireSlot(InstanceName{"near"}, 0);
    CHECK(chosen(pool, Start) == "far");
}

// Guards against an upstream that is measured while it is slow and gets no request ever after, since the others always have room.
TEST_CASE("an upstream that was slow gets a request again, and its next answer counts as its pace")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
    pool.setList({instance("a"), instance("b")});
    for (const auto &[name, paceMs] : std::map<std::string, double>{{"a", 5}, {"b", 100}}) {
        pool.acquireSlot(InstanceName{name}, 0, Start);
        pool.releaseSlot(InstanceName{name});
        pool.recordPace(InstanceName{name}, paceMs);
    }
    const auto chosenBesideOne = [&](TimePoint now) {
        pool.acquireSlot(InstanceName{"a"}, 0, now);
        std::string name = chosen(pool, now);
        pool.releaseSlot(InstanceName{"a"});
        return name;
    };
    CHECK(chosenBesideOne(Start + std::chrono::seconds(10)) == "a");
    const TimePoint later = Start + std::chrono::seconds(30);
    REQUIRE(chosenBesideOne(later) == "b");
    pool.acquireSlot(InstanceName{"b"}, 0, later);
    pool.releaseSlot(InstanceName{"b"});
    SECTION("still slow: no further request for a while")
    {
        pool.recordPace(InstanceName{"b"}, 100);
        CHECK(chosenBesideOne(later + std::chrono::seconds(10)) == "a");
    }
    SECTION("no longer slow: requests as the others")
    {
        pool.recordPace(InstanceName{"b"}, 5);
        CHECK(chosenBesideOne(later + std::chrono::seconds(1)) == "b");
    }
}

TEST_CASE("a long prompt goes to the engine with fewer pending prompt tokens")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
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

// Guards against a version that was rolled back but still gets traffic, or a version in its first minutes that gets more than its share.
TEST_CASE("a request goes only to the version that its share selects")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
    UpstreamInstance next = instance("new");
    next.version = VersionName{"v2"};
    pool.setList({instance("old"), next});
    PlacementQuery query = AnyDraft;
    query.versions = VersionSplit{.target = VersionName{"v2"}, .toTarget = false};
    CHECK(chosen(pool, Start, query) == "old");
    query.versions.toTarget = true;
    CHECK(chosen(pool, Start, query) == "new");
}

// Guards against late streams on slow engines in a burst. A third of the engines are 4.4 times slower (speeds 0.68 and 3): their streams pause for
// over 200 ms while a long prompt is processed beside them, and the same prompts do no harm on the fast engines.
//
// Events are 20 ms apart on a fast engine and 65 ms on a slow one, prompts are processed at 160 tokens a millisecond, and the longest pauses are
// three times the mean.
TEST_CASE("a prompt whose prefill would pause concurrent streams for too long goes to another engine")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
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
    SECTION("an idle engine has no streams to pause")
    {
        pool.releaseSlot(InstanceName{"slow"});
        CHECK(chosen(pool, Start, query(20'000)) == "slow");
    }
    SECTION("pending prompts add to the pause")
    {
        pool.acquireSlot(InstanceName{"slow"}, 5000);
        CHECK(chosen(pool, Start, query(1000)).empty());
    }
}

// Guards against callers that get nothing until their time limit, on engines of three speeds under load with answers whose lengths differ a
// hundredfold: a long answer was placed on a slow engine, which would have needed twice the time and used a slot throughout.
TEST_CASE("a long answer goes to an engine that finishes it before its deadline")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
    pool.setList({instance("fast"), instance("slow")});
    pool.recordPace(InstanceName{"fast"}, 12);
    pool.recordPace(InstanceName{"slow"}, 60);
    PlacementQuery query = AnyDraft;
    query.expectedEvents = 300;
    query.timeToDeadline = std::chrono::seconds(12);
    pool.acquireSlot(InstanceName{"fast"}, 0);
    pool.acquireSlot(InstanceName{"fast"}, 0);
    CHECK(chosen(pool, Start, query).empty());
    SECTION("a short answer uses the slot on the slow engine")
    {
        query.expectedEvents = 50;
        CHECK(chosen(pool, Start, query) == "slow");
    }
    SECTION("an answer that no engine would finish in time is placed anyway, since the estimate may be wrong")
    {
        query.expectedEvents = 3000;
        CHECK(chosen(pool, Start, query) == "slow");
    }
    SECTION("it does not wait for an engine that is ejected")
    {
        pool.recordFailure(InstanceName{"fast"}, Start);
        pool.recordFailure(InstanceName{"fast"}, Start);
        CHECK(chosen(pool, Start, query) == "slow");
    }
}

// Guards against first events and pauses that take five times as long after all VMs restarted at once and know no engine's pace, until the first
// answers end: the slowest engines were taken for the fastest and filled.
TEST_CASE("an engine of unknown pace gets few requests until its first events are measured")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
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
    SECTION("the pace of whole answers takes precedence over that of first events")
    {
        pool.recordPace(InstanceName{"new"}, 10);
        pool.recordEarlyPace(InstanceName{"new"}, 500);
        CHECK(chosen(pool, Start) == "new");
    }
}

namespace
{

/// A placement server with this many upstreams, and the notices that it sends.
struct NoticeSender
{
    explicit NoticeSender(int upstreams)
        : pool({.localDataCentre = LocalDataCentre})
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

// Guards against notices that grow with the number of upstreams: with 3,000 they exceeded a datagram, and no server received another's loads.
TEST_CASE("a notice of a server with 3,000 upstreams contains the changed loads and a slice of the others")
{
    constexpr int Upstreams = 3'000;
    constexpr std::size_t MaxBytes = 16 << 10;
    NoticeSender sender(Upstreams);
    for (int i = 0; i < Upstreams; ++i) {
        sender.pool.acquireSlot(InstanceName{NoticeSender::nameOf(i)}, 4'000);
        sender.pool.recordPace(InstanceName{NoticeSender::nameOf(i)}, 20);
    }
    sender.next(true);
    for (int i = 0; i < 40; ++i) {
        CHECK(sender.next(i % 10 == 9).ByteSizeLong() <= (i % 10 == 9 ? 2 : 1) * MaxBytes);
    }
    sender.pool.recordPrefillDone(InstanceName{NoticeSender::nameOf(7)}, 4'000);
    const v1::LoadNotice changed = sender.next();
    CHECK(std::ranges::any_of(changed.loads(), [](const v1::UpstreamLoad &load) { return load.upstream() == NoticeSender::nameOf(7); }));
}

// Guards against slots that count as used, or as free, for as long as a server runs because one notice was lost.
TEST_CASE("loads in a lost notice are reported again soon")
{
    NoticeSender sender(2);
    UpstreamPool receiver({.localDataCentre = LocalDataCentre});
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
    SECTION("the end of a load, lost both times that it was reported")
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

// Guards against a server that takes over and sends requests to engines that are full or slow, because it received only changes.
TEST_CASE("a backup that receives few notices knows all loads and paces after some of them")
{
    NoticeSender sender(100);
    UpstreamPool receiver({.localDataCentre = LocalDataCentre});
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

// Guards against new requests for an upstream that shut down while only the local part of the list was read.
TEST_CASE("remote upstreams are used while their part of the list is fresh, or while the list can't be read")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
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

// Guards against a data centre that refuses callers although other data centres have free upstreams, because nothing reads their parts of the list.
TEST_CASE("a placement indicates when a remote upstream might be better")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
    pool.setList({instance("near")}, Start);
    CHECK_FALSE(pool.choose(AnyDraft, Start).remoteMayHelp);
    pool.acquireSlot(InstanceName{"near"}, 0);
    CHECK(pool.choose(AnyDraft, Start).remoteMayHelp);
    pool.acquireSlot(InstanceName{"near"}, 0);
    CHECK(pool.choose(AnyDraft, Start).remoteMayHelp);
    CHECK_FALSE(pool.choose(AnyDraft, Start).upstream);
}

// Guards against a sound upstream that is ejected for all VMs since a single one has lost its own path.
TEST_CASE("an upstream is ejected when several VMs can't reach it, not when one can't")
{
    UpstreamPool pool({.localDataCentre = LocalDataCentre});
    pool.setList({instance("a")});
    for (int failure = 0; failure < 5; ++failure) {
        CHECK_FALSE(pool.recordUnreachable(InstanceName{"a"}, VmName{"10.0.0.1"}, Start));
    }
    CHECK(chosen(pool, Start) == "a");
    CHECK(pool.recordUnreachable(InstanceName{"a"}, VmName{"10.0.0.2"}, Start));
    CHECK(chosen(pool, Start).empty());
}

// Guards against an upstream that loses its place to a second entry with its name, which another program wrote; the entries' order varies.
TEST_CASE("a process that is known keeps its name while its entry is listed, and gives it up with the entry")
{
    const UpstreamInstance known = instance("a");
    UpstreamInstance other = known;
    other.address.host = "10.0.0.2";
    const auto addressIn = [](const UpstreamPool &pool) { return pool.choose(AnyDraft, Start).upstream->address.host; };
    for (const std::vector<UpstreamInstance> &list : {std::vector{known, other}, std::vector{other, known}}) {
        UpstreamPool pool({.localDataCentre = LocalDataCentre});
        pool.setList({known});
        pool.setList(list);
        CHECK(addressIn(pool) == "10.0.0.1");
        pool.setList({other});
        CHECK(addressIn(pool) == "10.0.0.2");
    }
}

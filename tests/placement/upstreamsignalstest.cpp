#include "placement/placementserver.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
const VmName Vm1{"10.0.0.1"};
const VmName Vm2{"10.0.0.2"};
const UpstreamProcess ProcessA{.name = InstanceName{"a"}, .startedAtMs = 5};

TimePoint after(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

UpstreamInstance upstream(const std::string &name, std::int64_t startedAtMs = 5)
{
    return UpstreamInstance{.name = InstanceName{name},
                            .service = ServiceName{"desk"},
                            .address = Address{.host = "10.0.9.1", .port = 80},
                            .dataCentre = DataCentreName{"dc-a"},
                            .version = VersionName{"v1"},
                            .slots = 4,
                            .startedAtMs = startedAtMs};
}

/// An entry VM that sends its signals and asks for one slot at a time.
struct EntryVm
{
    VmName vm;
    UpstreamSignals signals;
    std::uint64_t sequence = 0;

    /// Returns the upstream that the server grants; empty: the request waits.
    std::string ask(PlacementServer &server, TimePoint now)
    {
        v1::EntryState state;
        state.set_incarnation(7);
        state.set_sequence(++sequence);
        signals.write(state, 0, now);
        v1::PlacementAsk &ask = *state.add_asks();
        ask.set_id(sequence);
        ask.set_service("desk");
        ask.set_objective_in_ms(200);
        ask.set_answer_in_ms(2000);
        server.handleState(vm, state, now);
        std::string granted;
        for (const auto &[to, reply] : server.advance(now)) {
            granted = to == vm && reply.grants_size() > 0 ? reply.grants(0).upstream() : granted;
        }
        return granted;
    }
};

std::set<std::string> grantedTo(EntryVm &vm, PlacementServer &server, TimePoint now)
{
    std::set<std::string> upstreams;
    for (int i = 0; i < 4; ++i) {
        upstreams.insert(vm.ask(server, now));
    }
    return upstreams;
}

PlacementServer serverWith(const std::vector<UpstreamInstance> &upstreams)
{
    PlacementServer server({.localDataCentre = DataCentreName{"dc-a"}}, 0);
    server.setList(upstreams, Start);
    return server;
}

}

// Guards against a pause that keeps an upstream from the VMs that were not asked for one.
TEST_CASE("a pause binds the VM that was asked, until it is over")
{
    PlacementServer server = serverWith({upstream("a"), upstream("b")});
    EntryVm asked{.vm = Vm1, .signals = {}};
    EntryVm other{.vm = Vm2, .signals = {}};
    asked.signals.recordPause(ProcessA, std::chrono::milliseconds(900), Start);
    CHECK(grantedTo(asked, server, Start) == std::set<std::string>{"b"});
    CHECK(grantedTo(other, server, Start).contains("a"));
    CHECK(asked.signals.isHeld(ProcessA, after(899)));
    CHECK_FALSE(asked.signals.isHeld(ProcessA, after(900)));
    server.setList({upstream("a")}, after(900));
    CHECK(asked.ask(server, after(900)) == "a");
}

// Guards against a Retry-After that sends callers back while every upstream still pauses.
TEST_CASE("a request whose upstreams all pause is refused with the time until the first takes requests")
{
    PlacementServer server = serverWith({upstream("a")});
    EntryVm asked{.vm = Vm1, .signals = {}};
    asked.signals.recordPause(ProcessA, std::chrono::seconds(4), Start);
    CHECK(asked.ask(server, Start).empty());
    const auto replies = server.advance(after(500));
    REQUIRE(replies.size() == 1);
    REQUIRE(replies.front().second.refusals_size() == 1);
    CHECK(replies.front().second.refusals(0).retry_after_ms() == 3500);
}

TEST_CASE("an upstream that told one VM that it is leaving gets no new request from any, its successor does")
{
    PlacementServer server = serverWith({upstream("a"), upstream("b")});
    EntryVm told{.vm = Vm1, .signals = {}};
    EntryVm other{.vm = Vm2, .signals = {}};
    told.signals.recordLeaving(ProcessA, Start);
    CHECK(grantedTo(told, server, Start) == std::set<std::string>{"b"});
    CHECK(grantedTo(other, server, Start) == std::set<std::string>{"b"});
    server.setList({upstream("a", 6)}, after(100));
    CHECK(told.ask(server, after(100)) == "a");
}

// Guards against a new placement server that does not know of a pause.
TEST_CASE("signals are written until they are confirmed, and to each further server")
{
    UpstreamSignals signals;
    CHECK(signals.recordPause(ProcessA, std::chrono::seconds(3), Start));
    CHECK_FALSE(signals.recordPause(ProcessA, std::chrono::seconds(1), Start));
    const auto writtenAt = [&](std::uint64_t sequence, std::uint64_t confirmed) {
        v1::EntryState state;
        state.set_sequence(sequence);
        signals.write(state, confirmed, after(1000));
        return state.signals_size() > 0 ? state.signals(0).pause_ms() : 0;
    };
    CHECK(writtenAt(1, 0) == 2000);
    CHECK(writtenAt(2, 0) == 2000);
    CHECK(writtenAt(3, 1) == 0);
    signals.resetConfirmed();
    CHECK(writtenAt(4, 3) == 2000);
}

// Guards against several servers that each fill a brittle upstream, so that it refuses and crashes.
TEST_CASE("a brittle upstream's slots are shared by the servers, and one refusal keeps it unused for over a second")
{
    PlacementServer server = serverWith({upstream("a")});
    v1::FleetTally fleet;
    for (const char *vm : {"10.0.0.1", "10.0.0.2"}) {
        fleet.add_placement_vms()->set_vm(vm);
        fleet.mutable_placement_vms()->rbegin()->set_data_centre("dc-a");
    }
    server.setFleet(fleet);
    EntryVm told{.vm = Vm1, .signals = {}};
    told.signals.recordRefusalLimit(ProcessA, 3, Start);
    v1::EntryState state;
    state.set_incarnation(7);
    state.set_sequence(1);
    told.signals.write(state, 0, Start);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        v1::PlacementAsk &ask = *state.add_asks();
        ask.set_id(id);
        ask.set_service("desk");
        ask.set_objective_in_ms(200);
        ask.set_answer_in_ms(2000);
    }
    server.handleState(Vm1, state, Start);
    const auto replies = server.advance(Start);
    REQUIRE(replies.size() == 1);
    CHECK(replies.front().second.grants_size() == 2);

    v1::EntryState ended;
    ended.set_incarnation(7);
    ended.set_sequence(2);
    v1::EndedRequest &refused = *ended.add_ended();
    refused.set_id(1);
    refused.set_upstream("a");
    refused.set_outcome(v1::PLACEMENT_REFUSED);
    server.handleState(Vm1, ended, after(10));
    EntryVm later{.vm = Vm1, .signals = {}, .sequence = 2};
    CHECK(later.ask(server, after(1000)).empty());
    CHECK(later.ask(server, after(1300)) == "a");
}

// Guards against a brittle upstream that crashes after its rest, since several requests are refused at once.
TEST_CASE("a brittle upstream that has refused gets one request at a time until it has served one")
{
    UpstreamPool pool({.localDataCentre = DataCentreName{"dc-a"}});
    pool.setList({upstream("a")}, Start);
    pool.recordBrittle(ProcessA, Start);
    const auto mayGrant = [&](TimePoint now) {
        const bool isChosen = pool.choose(PlacementQuery{.service = ServiceName{"desk"}, .versions = {}, .promptTokens = 0, .tried = {}}, now).upstream;
        if (isChosen) {
            pool.acquireSlot(InstanceName{"a"}, 0, now);
        }
        return isChosen;
    };
    REQUIRE(mayGrant(Start));
    pool.releaseSlot(InstanceName{"a"});
    pool.recordRefusal(InstanceName{"a"}, Start);
    REQUIRE(mayGrant(after(1300)));
    CHECK_FALSE(mayGrant(after(1301)));
    pool.recordBrittle(ProcessA, after(1400));
    CHECK(mayGrant(after(2600)));
    pool.recordSuccess(InstanceName{"a"});
    CHECK(mayGrant(after(4000)));
    CHECK(mayGrant(after(4001)));
}

// Guards against servers of several data centres that grant the same slot of a brittle upstream, since their notices are some milliseconds old.
TEST_CASE("a brittle upstream is left to the placement server of its own data centre")
{
    UpstreamInstance remote = upstream("a");
    remote.dataCentre = DataCentreName{"dc-b"};
    PlacementServer server = serverWith({remote});
    EntryVm told{.vm = Vm1, .signals = {}};
    CHECK(told.ask(server, Start) == "a");
    told.signals.recordRefusalLimit(ProcessA, 3, Start);
    CHECK(told.ask(server, Start).empty());
    server.setList({remote}, after(3500));
    CHECK(EntryVm{.vm = Vm2, .signals = {}}.ask(server, after(3500)) == "a");
}

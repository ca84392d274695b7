#include "raft/core.h"
#include "raft/standbyoffers.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::raft;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr Duration TickInterval = std::chrono::milliseconds(50);
const VmName Self{"c"};
const VmName DeadLeader{"b"};
const VmName OtherVm{"a"};

/// A replica with an empty folder that was never admitted.
Core wipedReplica()
{
    Recovered recovered;
    recovered.identity.incarnation = 7;
    recovered.snapshot = std::make_shared<Snapshot>();
    return Core(CoreOptions{.self = Self}, recovered, 1, Start);
}

v1::RaftMessage heartbeatOf(const VmName &leader, Term term)
{
    v1::RaftMessage message;
    message.set_kind(v1::RaftMessage::APPEND);
    message.set_from(leader.value);
    message.set_to(Self.value);
    message.set_term(term);
    return message;
}

}

// Guards against a fleet in which no VM is served again: a wiped seed gets one append that was queued for it, the sender ends, and the seed follows
// it for ever. It asks only that VM for a lease, and makes no offer to become a replica.
TEST_CASE("a replica that is no voter forgets a silent leader and offers itself again")
{
    Core core = wipedReplica();
    StandbyOffers offers(Self, 7, CoreOptions{}.electionTimeout, Start);
    core.step(heartbeatOf(DeadLeader, 3), Start);
    REQUIRE(core.leader() == DeadLeader);
    std::optional<v1::RaftMessage> offer;
    TimePoint now = Start;
    while (!offer && now < Start + 10 * CoreOptions{}.electionTimeout) {
        now += TickInterval;
        core.tick(now);
        offer = offers.due(core.leader().has_value(), OtherVm, now);
    }
    CHECK_FALSE(core.leader());
    REQUIRE(offer);
    CHECK(offer->to() == OtherVm.value);
    CHECK(offer->incarnation() == 7);
}

// Guards against a learner that searches for a leader, and offers itself, although one replicates to it.
TEST_CASE("a replica that is no voter follows its leader while it hears from it")
{
    Core core = wipedReplica();
    for (TimePoint now = Start; now < Start + 10 * CoreOptions{}.electionTimeout; now += TickInterval) {
        core.step(heartbeatOf(DeadLeader, 3), now);
        core.tick(now + TickInterval / 2);
        CHECK(core.leader() == DeadLeader);
    }
}

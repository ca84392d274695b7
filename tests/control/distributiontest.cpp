#include "control/distribution.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};

TimePoint after(int ms)
{
    return Start + std::chrono::milliseconds(ms);
}

v1::ConfigHeartbeat heartbeatOf(const std::string &vm, std::uint64_t number, std::uint64_t version)
{
    v1::ConfigHeartbeat heartbeat;
    heartbeat.set_vm(vm);
    heartbeat.set_incarnation(1);
    heartbeat.set_beat(number);
    heartbeat.set_version(version);
    return heartbeat;
}

}

// The leader was killed, and an operator's "apply --wait" is answered by the next one. A VM that is well needs some seconds to find the new
// leader; it must not be named to the operator as lapsed meanwhile. One that is not heard of after that is named.
TEST_CASE("a new leader gives live VMs the time to find it before it names them as lapsed")
{
    Distribution distribution({}, {VmName{"a"}, VmName{"b"}});
    distribution.lead(7, Start);
    distribution.heartbeat(heartbeatOf("a", 1, 7), true, after(100));
    CHECK(distribution.spread(7, after(2'100)).pending == std::vector<std::string>{"b"});
    CHECK(distribution.spread(7, after(2'100)).lapsed.empty());
    CHECK(distribution.spread(7, after(5'100)).lapsed == std::vector<std::string>{"b"});
    distribution.heartbeat(heartbeatOf("b", 1, 7), true, after(4'000));
    CHECK(distribution.spread(7, after(5'100)).lapsed.empty());
    CHECK(distribution.spread(7, after(5'100)).pending.empty());
}

// A VM that this leader has granted a lease goes silent: it counts as lapsed when that lease has certainly ended, and not before.
TEST_CASE("a silent VM counts as lapsed once its lease has certainly ended")
{
    Distribution distribution({}, {VmName{"a"}});
    distribution.lead(7, Start);
    REQUIRE(distribution.heartbeat(heartbeatOf("a", 1, 7), true, after(100)));
    distribution.published(8, after(200));
    CHECK(distribution.spread(8, after(2'119)).pending.size() == 1);
    CHECK(distribution.spread(8, after(2'120)).lapsed.size() == 1);
}

// Guards against a slow link that gets the more copies to carry the slower it is.
TEST_CASE("a VM is not sent the newest version again before the last copy has had its time, and less often each time in vain")
{
    constexpr std::size_t Megabyte = std::size_t{1} << 20;
    Distribution distribution({}, {VmName{"a"}});
    distribution.lead(7, Start);
    distribution.heartbeat(heartbeatOf("a", 1, 7), true, after(100));
    distribution.published(8, after(200));
    CHECK_FALSE(distribution.needsRepair(VmName{"a"}, after(400)));
    REQUIRE(distribution.needsRepair(VmName{"a"}, after(700)));
    distribution.repairSent(VmName{"a"}, Megabyte, after(700));
    distribution.heartbeat(heartbeatOf("a", 2, 7), true, after(1'200));
    CHECK_FALSE(distribution.needsRepair(VmName{"a"}, after(9'000)));
    REQUIRE(distribution.needsRepair(VmName{"a"}, after(10'000)));
    distribution.repairSent(VmName{"a"}, Megabyte, after(10'000));
    CHECK_FALSE(distribution.needsRepair(VmName{"a"}, after(27'000)));
    CHECK(distribution.needsRepair(VmName{"a"}, after(29'000)));
}

// Guards against a VM that lost one of several changes and is left without all that follow until the first of them is old.
TEST_CASE("a VM that says that changes are missing gets them at once, and a restarted one does not wait for what its predecessor was sent")
{
    Distribution distribution({}, {VmName{"a"}});
    distribution.lead(7, Start);
    distribution.heartbeat(heartbeatOf("a", 1, 7), true, after(100));
    distribution.published(8, after(200));
    v1::ConfigHeartbeat gap = heartbeatOf("a", 2, 7);
    gap.set_gap(true);
    distribution.heartbeat(gap, true, after(210));
    REQUIRE(distribution.needsRepair(VmName{"a"}, after(210)));
    distribution.repairSent(VmName{"a"}, 100, after(210));
    CHECK_FALSE(distribution.needsRepair(VmName{"a"}, after(220)));
    v1::ConfigHeartbeat restarted = heartbeatOf("a", 1, 0);
    restarted.set_incarnation(2);
    distribution.heartbeat(restarted, true, after(300));
    CHECK(distribution.needsRepair(VmName{"a"}, after(300)));
}

// Guards against a confirmation after which a VM goes on under the older version for longer than operators count on.
TEST_CASE("a version is not confirmed while a VM without it may admit work beyond the promise, and gets no new lease afterwards")
{
    const Duration within = std::chrono::seconds(2);
    Distribution distribution({.keepAdmitting = std::chrono::milliseconds(1'800)}, {});
    distribution.lead(7, Start);
    v1::ConfigHeartbeat first = heartbeatOf("a", 1, 7);
    first.set_keep_admitting_ms(1'800);
    REQUIRE(distribution.heartbeat(first, true, after(5'000)));
    distribution.published(8, after(5'010));
    // Its lease ends at 7.02 s, and it goes on until 8.838 s by the slower clock.
    CHECK_FALSE(distribution.inForceWithin(8, within, after(5'020)));
    CHECK_FALSE(distribution.inForceWithin(8, within, after(6'837)));
    CHECK(distribution.inForceWithin(8, within, after(6'838)));
    distribution.confirmed(8);
    v1::ConfigHeartbeat second = first;
    second.set_beat(2);
    CHECK_FALSE(distribution.heartbeat(second, true, after(5'030)));
    v1::ConfigHeartbeat updated = heartbeatOf("a", 3, 8);
    CHECK(distribution.heartbeat(updated, true, after(5'040)));
    CHECK(distribution.inForceWithin(8, within, after(5'050)));
}

// Guards against a new leader that confirms at once, since it has heard of no VM, while VMs hold leases of the leader before it.
TEST_CASE("a new leader confirms nothing until the leases that it knows nothing of end within the promise")
{
    const Duration within = std::chrono::seconds(2);
    Distribution distribution({.keepAdmitting = std::chrono::milliseconds(1'800)}, {});
    distribution.lead(7, Start);
    CHECK_FALSE(distribution.inForceWithin(7, within, after(1'800)));
    CHECK(distribution.inForceWithin(7, within, after(1'838)));
}

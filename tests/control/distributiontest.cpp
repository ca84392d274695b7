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

// Guards against a new leader that lists a healthy VM as lapsed to the operator of "apply --wait": a VM needs some seconds to find the leader after
// an election. A VM without a heartbeat after that time is listed.
TEST_CASE("a new leader lists VMs as lapsed only after the time to find it")
{
    Distribution distribution({}, {VmName{"a"}, VmName{"b"}});
    distribution.startLeading(7, Start);
    distribution.handleHeartbeat(heartbeatOf("a", 1, 7), true, after(100));
    CHECK(distribution.progress(7, after(2'100)).pending == std::vector<std::string>{"b"});
    CHECK(distribution.progress(7, after(2'100)).lapsed.empty());
    CHECK(distribution.progress(7, after(5'100)).lapsed == std::vector<std::string>{"b"});
    distribution.handleHeartbeat(heartbeatOf("b", 1, 7), true, after(4'000));
    CHECK(distribution.progress(7, after(5'100)).lapsed.empty());
    CHECK(distribution.progress(7, after(5'100)).pending.empty());
}

// A VM without heartbeats counts as lapsed when the lease that this leader granted has certainly ended, and not before.
TEST_CASE("a VM without heartbeats counts as lapsed once its lease has certainly ended")
{
    Distribution distribution({}, {VmName{"a"}});
    distribution.startLeading(7, Start);
    REQUIRE(distribution.handleHeartbeat(heartbeatOf("a", 1, 7), true, after(100)));
    distribution.recordPublication(8, after(200));
    CHECK(distribution.progress(8, after(2'119)).pending.size() == 1);
    CHECK(distribution.progress(8, after(2'120)).lapsed.size() == 1);
}

// Guards against a slow link that has to carry the more copies the slower it is.
TEST_CASE("a repair is repeated only after the last copy had time to arrive, and after a longer time with each repair without effect")
{
    constexpr std::size_t Megabyte = std::size_t{1} << 20;
    Distribution distribution({}, {VmName{"a"}});
    distribution.startLeading(7, Start);
    distribution.handleHeartbeat(heartbeatOf("a", 1, 7), true, after(100));
    distribution.recordPublication(8, after(200));
    CHECK_FALSE(distribution.needsRepair(VmName{"a"}, after(400)));
    REQUIRE(distribution.needsRepair(VmName{"a"}, after(700)));
    distribution.recordRepair(VmName{"a"}, Megabyte, after(700));
    distribution.handleHeartbeat(heartbeatOf("a", 2, 7), true, after(1'200));
    CHECK_FALSE(distribution.needsRepair(VmName{"a"}, after(9'000)));
    REQUIRE(distribution.needsRepair(VmName{"a"}, after(10'000)));
    distribution.recordRepair(VmName{"a"}, Megabyte, after(10'000));
    CHECK_FALSE(distribution.needsRepair(VmName{"a"}, after(27'000)));
    CHECK(distribution.needsRepair(VmName{"a"}, after(29'000)));
}

// Guards against a VM that missed one of several changes and does not get the ones after it until the missed one is old.
TEST_CASE("a VM that reports a gap is repaired at once, and a restarted VM does not wait for the repair of the process before it")
{
    Distribution distribution({}, {VmName{"a"}});
    distribution.startLeading(7, Start);
    distribution.handleHeartbeat(heartbeatOf("a", 1, 7), true, after(100));
    distribution.recordPublication(8, after(200));
    v1::ConfigHeartbeat gap = heartbeatOf("a", 2, 7);
    gap.set_gap(true);
    distribution.handleHeartbeat(gap, true, after(210));
    REQUIRE(distribution.needsRepair(VmName{"a"}, after(210)));
    distribution.recordRepair(VmName{"a"}, 100, after(210));
    CHECK_FALSE(distribution.needsRepair(VmName{"a"}, after(220)));
    v1::ConfigHeartbeat restarted = heartbeatOf("a", 1, 0);
    restarted.set_incarnation(2);
    distribution.handleHeartbeat(restarted, true, after(300));
    CHECK(distribution.needsRepair(VmName{"a"}, after(300)));
}

// Guards against a confirmation after which a VM admits work under the older version for longer than operators may assume.
TEST_CASE("a version is confirmed only when no VM without it can admit work beyond the bound, and then no lease is granted without it")
{
    const Duration within = std::chrono::seconds(2);
    Distribution distribution({.keepAdmitting = std::chrono::milliseconds(1'800)}, {});
    distribution.startLeading(7, Start);
    v1::ConfigHeartbeat first = heartbeatOf("a", 1, 7);
    first.set_keep_admitting_ms(1'800);
    REQUIRE(distribution.handleHeartbeat(first, true, after(5'000)));
    distribution.recordPublication(8, after(5'010));
    // The lease ends at 7.02 s, and the VM admits work until 8.838 s by the slower clock.
    CHECK_FALSE(distribution.isInForceWithin(8, within, after(5'020)));
    CHECK_FALSE(distribution.isInForceWithin(8, within, after(6'837)));
    CHECK(distribution.isInForceWithin(8, within, after(6'838)));
    distribution.recordConfirmation(8);
    v1::ConfigHeartbeat second = first;
    second.set_beat(2);
    CHECK_FALSE(distribution.handleHeartbeat(second, true, after(5'030)));
    v1::ConfigHeartbeat updated = heartbeatOf("a", 3, 8);
    CHECK(distribution.handleHeartbeat(updated, true, after(5'040)));
    CHECK(distribution.isInForceWithin(8, within, after(5'050)));
}

// Guards against a new leader that confirms at once because it has no heartbeats yet, while VMs hold leases of the leader before it.
TEST_CASE("a new leader confirms no version until leases of earlier leaders end within the bound")
{
    const Duration within = std::chrono::seconds(2);
    Distribution distribution({.keepAdmitting = std::chrono::milliseconds(1'800)}, {});
    distribution.startLeading(7, Start);
    CHECK_FALSE(distribution.isInForceWithin(7, within, after(1'800)));
    CHECK(distribution.isInForceWithin(7, within, after(1'838)));
}

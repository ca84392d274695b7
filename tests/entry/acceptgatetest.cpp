#include "entry/acceptgate.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

constexpr Duration Late = AcceptGate::MaxLateness + std::chrono::milliseconds(1);
constexpr int Crowd = 20;

}

TEST_CASE("a VM refuses new connections while they make its event loop late")
{
    AcceptGate gate;
    TimePoint now{std::chrono::seconds(10)};
    CHECK(gate.record({}, Crowd, now));
    CHECK_FALSE(gate.record(Late, Crowd, now));
    CHECK_FALSE(gate.record(AcceptGate::Interval, 0, now += AcceptGate::Interval));
    CHECK(gate.record({}, 0, now += AcceptGate::Interval));
}

// Guards against refusing callers because of a pause that has nothing to do with them, such as a large configuration.
TEST_CASE("a late event loop without new connections refuses none")
{
    AcceptGate gate;
    CHECK(gate.record(std::chrono::seconds(3), 0, TimePoint{std::chrono::seconds(10)}));
    CHECK(gate.record(std::chrono::seconds(3), AcceptGate::MinNewConnections - 1, TimePoint{std::chrono::seconds(10)}));
}

// Guards against a VM that is ready and takes no connection at all.
TEST_CASE("a VM takes new connections again after a while, even if its loop is still late")
{
    AcceptGate gate;
    const TimePoint start{std::chrono::seconds(10)};
    CHECK_FALSE(gate.record(Late, Crowd, start));
    CHECK_FALSE(gate.record(Late, 0, start + AcceptGate::MaxClosedTime - std::chrono::milliseconds(1)));
    CHECK(gate.record(Late, 0, start + AcceptGate::MaxClosedTime));
}

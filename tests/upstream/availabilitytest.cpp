#include "upstream/availability.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace std::chrono_literals;

namespace
{

const UpstreamName Runner{"runner-1"};
const TimePoint Start{1h};

}

TEST_CASE("an upstream is ejected at its first refusal and readmitted by one probe at a time")
{
    Availability availability;
    CHECK(availability.isUsable(Runner, Start));
    availability.recordRefusal(Runner, Start);
    CHECK_FALSE(availability.isUsable(Runner, Start));
    CHECK(availability.unusableUpstreams(Start) == std::set<UpstreamName>{Runner});
    const TimePoint later = Start + 500ms;
    REQUIRE(availability.isUsable(Runner, later));
    availability.recordDispatch(Runner, later);
    CHECK_FALSE(availability.isUsable(Runner, later));
    availability.recordAcceptance(Runner);
    CHECK(availability.isUsable(Runner, later));
}

TEST_CASE("ejection times double with each refused probe, up to 15 s, and a burst of refusals counts once")
{
    Availability availability;
    TimePoint now = Start;
    Duration expectedEjectionTime = 500ms;
    availability.recordRefusal(Runner, now);
    for (int probe = 0; probe < 10; ++probe) {
        for (int refusal = 0; refusal < 20; ++refusal) {
            availability.recordRefusal(Runner, now);
        }
        CHECK_FALSE(availability.isUsable(Runner, now + expectedEjectionTime - 1us));
        REQUIRE(availability.isUsable(Runner, now + expectedEjectionTime));
        now += expectedEjectionTime;
        availability.recordDispatch(Runner, now);
        availability.recordRefusal(Runner, now);
        expectedEjectionTime = std::min<Duration>(expectedEjectionTime * 2, 15s);
    }
}

TEST_CASE("a draining upstream gets no work even when it accepts requests")
{
    Availability availability;
    availability.setDraining({Runner});
    availability.recordAcceptance(Runner);
    CHECK_FALSE(availability.isUsable(Runner, Start));
    availability.setDraining({});
    CHECK(availability.isUsable(Runner, Start));
}

// Guards against a probe in the middle of a pause that the upstream asked for.
TEST_CASE("an upstream that asks for a pause gets no work until it is over, whatever its ejection time")
{
    Availability availability;
    availability.recordRefusal(Runner, Start, 4s);
    CHECK_FALSE(availability.isUsable(Runner, Start + 3999ms));
    CHECK(availability.isUsable(Runner, Start + 4s));
    availability.recordAcceptance(Runner);
    availability.recordRefusal(Runner, Start);
    availability.recordRefusal(Runner, Start + 100ms, 2s);
    CHECK_FALSE(availability.isUsable(Runner, Start + 2099ms));
}

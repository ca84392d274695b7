#include "upstream/availability.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace std::chrono_literals;

namespace
{

const UpstreamName Runner{"runner-1"};
const TimePoint Start{1h};

}

TEST_CASE("the first refusal keeps new work away and one trial at a time brings it back")
{
    Availability availability;
    CHECK(availability.isUsable(Runner, Start));
    availability.refused(Runner, Start);
    CHECK_FALSE(availability.isUsable(Runner, Start));
    CHECK(availability.unusable(Start) == std::set<UpstreamName>{Runner});
    const TimePoint later = Start + 500ms;
    REQUIRE(availability.isUsable(Runner, later));
    availability.granted(Runner, later);
    CHECK_FALSE(availability.isUsable(Runner, later));
    availability.took(Runner);
    CHECK(availability.isUsable(Runner, later));
}

TEST_CASE("pauses double with each failed trial, up to 15 s, and a burst of refusals is one sign")
{
    Availability availability;
    TimePoint now = Start;
    Duration expected = 500ms;
    availability.refused(Runner, now);
    for (int trial = 0; trial < 10; ++trial) {
        for (int refusal = 0; refusal < 20; ++refusal) {
            availability.refused(Runner, now);
        }
        CHECK_FALSE(availability.isUsable(Runner, now + expected - 1us));
        REQUIRE(availability.isUsable(Runner, now + expected));
        now += expected;
        availability.granted(Runner, now);
        availability.refused(Runner, now);
        expected = std::min<Duration>(expected * 2, 15s);
    }
}

TEST_CASE("an upstream that the platform says is leaving gets nothing, however well it answers")
{
    Availability availability;
    availability.setLeaving({Runner});
    availability.took(Runner);
    CHECK_FALSE(availability.isUsable(Runner, Start));
    availability.setLeaving({});
    CHECK(availability.isUsable(Runner, Start));
}

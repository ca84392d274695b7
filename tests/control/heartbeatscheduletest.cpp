#include "control/heartbeatschedule.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};

TimePoint after(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

}

TEST_CASE("a VM beats at once when it starts, then twice a second, and soon after its first lease")
{
    HeartbeatSchedule beats(false);
    beats.start(Start);
    CHECK(beats.isDue(Start));
    beats.sent(Start);
    beats.answered();
    CHECK_FALSE(beats.isDue(after(499)));
    CHECK(beats.isDue(after(500)));
    beats.sent(after(500));
    beats.answered();
    beats.settle(after(501));
    CHECK_FALSE(beats.isDue(after(580)));
    CHECK(beats.isDue(after(581)));
    beats.sent(after(581));
    beats.answered();
    CHECK(beats.isDue(after(661)));
    beats.sent(after(661));
    beats.answered();
    CHECK(beats.isDue(after(741)));
    beats.sent(after(741));
    beats.answered();
    CHECK_FALSE(beats.isDue(after(1240)));
    CHECK(beats.isDue(after(1241)));
}

// Guards against a lease that lapses by one lost datagram, and against a leader that gets the more beats the slower it answers.
TEST_CASE("a beat by datagram that nothing answered is repeated soon, once")
{
    HeartbeatSchedule beats(true);
    beats.start(Start);
    beats.sent(Start);
    SECTION("answered")
    {
        beats.answered();
        CHECK_FALSE(beats.isDue(after(499)));
        CHECK(beats.isDue(after(500)));
    }
    SECTION("lost")
    {
        CHECK_FALSE(beats.isDue(after(199)));
        CHECK(beats.isDue(after(200)));
        beats.sent(after(200));
        CHECK_FALSE(beats.isDue(after(699)));
        CHECK(beats.isDue(after(700)));
    }
}

TEST_CASE("another VM is asked when nobody granted a lease, and the next one sooner")
{
    HeartbeatSchedule beats(true);
    beats.start(Start);
    CHECK_FALSE(beats.mustAskAnother(after(699)));
    CHECK(beats.mustAskAnother(after(700)));
    beats.askedAnother(after(700));
    CHECK_FALSE(beats.mustAskAnother(after(949)));
    CHECK(beats.mustAskAnother(after(950)));
    beats.granted(after(960));
    CHECK_FALSE(beats.mustAskAnother(after(1659)));
    CHECK(beats.mustAskAnother(after(1660)));
}

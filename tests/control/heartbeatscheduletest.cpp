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

TEST_CASE("a VM sends a heartbeat at its start, then two a second, and a burst after its first lease")
{
    HeartbeatSchedule schedule(false);
    schedule.start(Start);
    CHECK(schedule.isDue(Start));
    schedule.onSent(Start);
    schedule.onReply();
    CHECK_FALSE(schedule.isDue(after(499)));
    CHECK(schedule.isDue(after(500)));
    schedule.onSent(after(500));
    schedule.onReply();
    schedule.startBurst(after(501));
    CHECK_FALSE(schedule.isDue(after(580)));
    CHECK(schedule.isDue(after(581)));
    schedule.onSent(after(581));
    schedule.onReply();
    CHECK(schedule.isDue(after(661)));
    schedule.onSent(after(661));
    schedule.onReply();
    CHECK(schedule.isDue(after(741)));
    schedule.onSent(after(741));
    schedule.onReply();
    CHECK_FALSE(schedule.isDue(after(1240)));
    CHECK(schedule.isDue(after(1241)));
}

// Guards against a lease that lapses because of one lost datagram, and against a leader that receives more heartbeats the slower it replies.
TEST_CASE("a heartbeat datagram without a reply is retransmitted once")
{
    HeartbeatSchedule schedule(true);
    schedule.start(Start);
    schedule.onSent(Start);
    SECTION("answered")
    {
        schedule.onReply();
        CHECK_FALSE(schedule.isDue(after(499)));
        CHECK(schedule.isDue(after(500)));
    }
    SECTION("lost")
    {
        CHECK_FALSE(schedule.isDue(after(199)));
        CHECK(schedule.isDue(after(200)));
        schedule.onSent(after(200));
        CHECK_FALSE(schedule.isDue(after(699)));
        CHECK(schedule.isDue(after(700)));
    }
}

TEST_CASE("the next candidate is asked when no lease is granted, and further candidates after a shorter time")
{
    HeartbeatSchedule schedule(true);
    schedule.start(Start);
    CHECK_FALSE(schedule.mustAskNextCandidate(after(699)));
    CHECK(schedule.mustAskNextCandidate(after(700)));
    schedule.onNextCandidateAsked(after(700));
    CHECK_FALSE(schedule.mustAskNextCandidate(after(949)));
    CHECK(schedule.mustAskNextCandidate(after(950)));
    schedule.onLeaseGranted(after(960));
    CHECK_FALSE(schedule.mustAskNextCandidate(after(1659)));
    CHECK(schedule.mustAskNextCandidate(after(1660)));
}

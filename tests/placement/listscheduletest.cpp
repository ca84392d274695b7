#include "placement/listschedule.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cumindyke;

namespace
{

using Part = ListRead::Part;

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr Duration Interval = std::chrono::seconds(1);
const DataCentreName Here{"dc-a"};

TimePoint after(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

ListSchedule longList()
{
    ListSchedule schedule(Here, Interval);
    for (const char *dataCentre : {"dc-a", "dc-b", "dc-c"}) {
        schedule.known(DataCentreName{dataCentre});
    }
    schedule.isLong();
    return schedule;
}

/// The data centres whose parts are read in one round; the survey is left out.
std::set<std::string> readAt(ListSchedule &schedule, bool fartherWanted, TimePoint now)
{
    std::set<std::string> read;
    while (const std::optional<ListRead> reading = schedule.next(fartherWanted, now)) {
        if (reading->part != Part::DataCentre) {
            break;
        }
        read.insert(reading->dataCentre.value);
        schedule.partRead(reading->dataCentre, now);
    }
    return read;
}

}

TEST_CASE("a short list is read whole, once an interval")
{
    ListSchedule schedule(Here, Interval);
    REQUIRE(schedule.next(false, Start));
    CHECK(schedule.next(false, Start)->part == Part::Whole);
    schedule.wholeRead(Start);
    CHECK_FALSE(schedule.next(true, after(999)));
    CHECK(schedule.untilNextLook(after(600)) == std::chrono::milliseconds(400));
    CHECK(schedule.next(false, after(1000))->part == Part::Whole);
}

// Guards against placement servers that spend their processors and links on a list of thousands of upstreams, most of them of other data centres.
TEST_CASE("of a long list the own data centre's part is read, and the others' while they are wanted")
{
    ListSchedule schedule = longList();
    CHECK(readAt(schedule, false, Start) == std::set<std::string>{"dc-a"});
    CHECK(readAt(schedule, true, after(10)) == std::set<std::string>{"dc-b", "dc-c"});
    CHECK(readAt(schedule, true, after(500)).empty());
    CHECK(readAt(schedule, true, after(1010)) == std::set<std::string>{"dc-a", "dc-b", "dc-c"});
    CHECK(readAt(schedule, false, after(2010)) == std::set<std::string>{"dc-a"});
}

// Guards against upstreams that are never used, since their data centre has no entry VMs and nobody knows of it.
TEST_CASE("a survey reads the whole list page by page, and begins anew after a while")
{
    ListSchedule schedule = longList();
    readAt(schedule, false, Start);
    REQUIRE(schedule.next(false, Start));
    CHECK(schedule.next(false, Start)->part == Part::Survey);
    CHECK(schedule.next(false, Start)->pageToken.empty());
    schedule.surveyed("p-50", Start);
    CHECK_FALSE(schedule.next(false, after(999)));
    readAt(schedule, false, after(1000));
    CHECK(schedule.next(false, after(1000))->pageToken == "p-50");
    schedule.surveyed("", after(1000));
    readAt(schedule, false, after(50'000));
    CHECK_FALSE(schedule.next(false, after(50'000)));
    readAt(schedule, false, after(61'000));
    CHECK(schedule.next(false, after(61'000))->part == Part::Survey);
}

TEST_CASE("after a pause everything is due, and a reading that failed is due after an interval")
{
    ListSchedule schedule = longList();
    readAt(schedule, true, Start);
    schedule.restart();
    CHECK(schedule.next(false, Start)->part == Part::Whole);
    schedule.failed(*schedule.next(false, Start), Start);
    CHECK_FALSE(schedule.next(false, after(999)));
    schedule.isLong();
    CHECK(readAt(schedule, true, after(1)) == std::set<std::string>{"dc-a", "dc-b", "dc-c"});
}

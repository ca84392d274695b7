#include "placement/listschedule.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cumindyke;

namespace
{

using Scope = ListRead::Scope;

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr Duration Interval = std::chrono::seconds(1);
const DataCentreName LocalDataCentre{"dc-a"};

TimePoint after(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

ListSchedule longList()
{
    ListSchedule schedule(LocalDataCentre, Interval);
    for (const char *dataCentre : {"dc-a", "dc-b", "dc-c"}) {
        schedule.addDataCentre(DataCentreName{dataCentre});
    }
    schedule.switchToParts();
    return schedule;
}

/// The data centres whose parts are read in one round, up to the first read that is not a part.
std::set<std::string> dueParts(ListSchedule &schedule, bool remoteWanted, TimePoint now)
{
    std::set<std::string> read;
    while (const std::optional<ListRead> reading = schedule.nextRead(remoteWanted, now)) {
        if (reading->scope != Scope::DataCentre) {
            break;
        }
        read.insert(reading->dataCentre.value);
        schedule.onPartRead(reading->dataCentre, now);
    }
    return read;
}

}

TEST_CASE("a short list is read whole, once per interval")
{
    ListSchedule schedule(LocalDataCentre, Interval);
    REQUIRE(schedule.nextRead(false, Start));
    CHECK(schedule.nextRead(false, Start)->scope == Scope::Whole);
    schedule.onWholeRead(Start);
    CHECK_FALSE(schedule.nextRead(true, after(999)));
    CHECK(schedule.timeUntilNextCheck(after(600)) == std::chrono::milliseconds(400));
    CHECK(schedule.nextRead(false, after(1000))->scope == Scope::Whole);
}

// Guards against placement servers that spend their CPU and bandwidth on a list of thousands of upstreams, most of them in other data centres.
TEST_CASE("of a long list the local data centre's part is read, and the remote parts while they are wanted")
{
    ListSchedule schedule = longList();
    CHECK(dueParts(schedule, false, Start) == std::set<std::string>{"dc-a"});
    CHECK(dueParts(schedule, true, after(10)) == std::set<std::string>{"dc-b", "dc-c"});
    CHECK(dueParts(schedule, true, after(500)).empty());
    CHECK(dueParts(schedule, true, after(1010)) == std::set<std::string>{"dc-a", "dc-b", "dc-c"});
    CHECK(dueParts(schedule, false, after(2010)) == std::set<std::string>{"dc-a"});
}

// Guards against upstreams that are never used because their data centre has no entry VMs and is therefore unknown.
TEST_CASE("discovery reads the whole list page by page, and restarts after its interval")
{
    ListSchedule schedule = longList();
    dueParts(schedule, false, Start);
    REQUIRE(schedule.nextRead(false, Start));
    CHECK(schedule.nextRead(false, Start)->scope == Scope::Discovery);
    CHECK(schedule.nextRead(false, Start)->pageToken.empty());
    schedule.onDiscoveryPageRead("p-50", Start);
    CHECK_FALSE(schedule.nextRead(false, after(999)));
    dueParts(schedule, false, after(1000));
    CHECK(schedule.nextRead(false, after(1000))->pageToken == "p-50");
    schedule.onDiscoveryPageRead("", after(1000));
    dueParts(schedule, false, after(50'000));
    CHECK_FALSE(schedule.nextRead(false, after(50'000)));
    dueParts(schedule, false, after(61'000));
    CHECK(schedule.nextRead(false, after(61'000))->scope == Scope::Discovery);
}

TEST_CASE("after a reset everything is due, and a failed read is due after an interval")
{
    ListSchedule schedule = longList();
    dueParts(schedule, true, Start);
    schedule.reset();
    CHECK(schedule.nextRead(false, Start)->scope == Scope::Whole);
    schedule.onReadFailed(*schedule.nextRead(false, Start), Start);
    CHECK_FALSE(schedule.nextRead(false, after(999)));
    schedule.switchToParts();
    CHECK(dueParts(schedule, true, after(1)) == std::set<std::string>{"dc-a", "dc-b", "dc-c"});
}

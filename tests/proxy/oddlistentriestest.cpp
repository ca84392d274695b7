#include "proxy/entryvmtasks.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

std::string entryOf(const std::string &instance, const Address &address)
{
    return R"({"service":"desk","zone":"z-a","version":"v1","slots":4,"state":"ready","address":")" + toString(address) + R"(","id":")" + instance + R"("})";
}

std::string pageOf(const std::string &entries)
{
    return R"({"instances":[)" + entries + R"(],"next":null})";
}

}

// Guards against requests that go on to upstreams which left the list, and none to new ones, since one entry of another writer can't be parsed.
TEST_CASE("while an odd entry stands on the list, changes of the other entries are followed")
{
    EntryVmTasks vms(1, 2);
    const std::vector<std::string> names = vms.platform.upstreamsIn("z-a");
    const std::string first = entryOf(names[0], vms.platform.addressOf(names[0]));
    const std::string second = entryOf(names[1], vms.platform.addressOf(names[1]));
    const std::string deep = R"({"id":"odd","x":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}";
    int sent = 0;
    const auto servedBy = [&](const std::string &instance) {
        const std::string id = "odd-" + std::to_string(++sent);
        if (!vms.isServed(0, id)) {
            return false;
        }
        const std::vector<SeenRequest> seen = vms.platform.seen();
        return seen.back().upstream == instance;
    };
    for (const std::string &odd : {deep,
                                   std::string("{\"id\":\"\xff\"}"),
                                   std::string(R"({"id":"odd","load":1e400})"),
                                   std::string(R"({"id":"odd)"),
                                   entryOf("odd", Address{.host = "10.0.0.8", .port = 0})}) {
        CAPTURE(odd.substr(0, 60));
        const auto pageWith = [&odd](const std::string &entry) {
            std::string entries = odd;
            entries += ',';
            entries += entry;
            return pageOf(entries);
        };
        vms.platform.setListBody(pageWith(first));
        CHECK(eventually([&] { return servedBy(names[0]); }));
        vms.platform.setListBody(pageWith(second));
        CHECK(eventually([&] { return servedBy(names[1]); }));
    }
}

// Guards against an upstream that is used by what its entry said before another writer changed it, and one that stays unused when its entry is sound again.
TEST_CASE("an upstream whose entry becomes odd gets no requests until the entry is sound again")
{
    EntryVmTasks vms(1, 2);
    const std::vector<std::string> names = vms.platform.upstreamsIn("z-a");
    const auto entry = [&](std::size_t number, bool isSound) {
        return entryOf(names[number], isSound ? vms.platform.addressOf(names[number]) : Address{.host = "10.0.0.8", .port = 0});
    };
    int sent = 0;
    const auto servedOnlyBy = [&](const std::string &instance) {
        for (int i = 0; i < 4; ++i) {
            if (!vms.isServed(0, "changing-" + std::to_string(++sent)) || vms.platform.seen().back().upstream != instance) {
                return false;
            }
        }
        return true;
    };
    for (int round = 0; round < 2; ++round) {
        for (std::size_t sound = 0; sound < 2; ++sound) {
            CAPTURE(round, sound);
            vms.platform.setListBody(pageOf(entry(0, sound == 0) + "," + entry(1, sound == 1)));
            CHECK(eventually([&] { return servedOnlyBy(names[sound]); }));
        }
    }
}

// Guards against a page that was cut off and counts as the whole list: the upstreams behind the cut would be given up.
TEST_CASE("while the list is cut off, the last whole one stays in use and the failure is counted")
{
    EntryVmTasks vms(1, 2);
    const std::vector<std::string> names = vms.platform.upstreamsIn("z-a");
    const std::string first = entryOf(names[0], vms.platform.addressOf(names[0]));
    REQUIRE(eventually([&] { return vms.isServed(0, "whole"); }));
    const Counter failures = vms.metrics.counter("cumindyke_list_read_failures_total", "");
    int sent = 0;
    for (const std::string &cut :
         {std::string(R"({"instances":[)"), R"({"instances":[)" + first, R"({"instances":[)" + first + "]", R"({"instances":[)" + first + "]}"}) {
        CAPTURE(cut);
        const double before = failures.value();
        vms.platform.setListBody(cut);
        CHECK(eventually([&] { return failures.value() > before + 1; }));
        CHECK(vms.servedCount(0, "cut-" + std::to_string(++sent) + "-", 4) == 4);
    }
}

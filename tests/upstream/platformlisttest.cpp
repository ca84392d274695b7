#include "upstream/platformlist.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

/// Joined with commas.
std::string join(std::initializer_list<std::string> entries)
{
    std::string joined;
    for (const std::string &entry : entries) {
        joined.append(entry).append(",");
    }
    joined.pop_back();
    return joined;
}

}

// Guards against VMs that get new work until they stop, since one odd entry of another writer hid all others.
TEST_CASE("an odd entry of the list of VMs is passed over and the others hold")
{
    const std::string leaving = R"({"address":"10.0.0.5","state":"leaving"})";
    for (const std::string &odd : {std::string("null"),
                                   std::string("{}"),
                                   std::string(R"({"address":7,"state":"leaving"})"),
                                   std::string("{\"address\":\"\xff\",\"state\":\"leaving\"}"),
                                   std::string(R"({"address":"10.0.0.6","state":"leaving","x":1e400})"),
                                   R"({"address":"10.0.0.6","state":"leaving","x":)" + std::string(400, '9') + "}",
                                   std::string(R"({"address":"10.0.0.6","state":"leaving","x":NaN})"),
                                   R"({"address":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}"}) {
        CAPTURE(odd.substr(0, 60));
        for (const std::string &entries : {join({odd, leaving}), join({leaving, odd})}) {
            const Result<PlatformVms> vms = parsePlatformList(R"({"vms":[)" + entries + "]}");
            REQUIRE(ok(vms));
            CHECK(valueOf(vms).leaving == LeavingVms{"10.0.0.5"});
            CHECK(valueOf(vms).rejectedCount == 1);
        }
    }
    for (const std::string &torn : {std::string(R"({"vms":[)") + leaving,
                                    std::string(R"({"vms":[)") + leaving + "]",
                                    std::string("[]"),
                                    std::string("{}"),
                                    std::string(R"({"vms":{}})")}) {
        CAPTURE(torn);
        CHECK_FALSE(ok(parsePlatformList(torn)));
    }
}

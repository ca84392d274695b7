#include "entry/frontdoors.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr const char *EventsWithoutEnd = "id: 0\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n";
constexpr const char *EndMarker = "data: [DONE]\n\n";

HttpAnswer complete(const FrontDoors &doors)
{
    return http(Address{.host = doors.network.host(1), .port = FrontDoorPort}, "POST", "/v1/completions", ApiKey, R"({"model":"drafts","prompt":"x"})");
}

}

// Guards against an engine's whole stream that is thrown away because it has neither a length nor chunks, and against a part of one that passes for it.
TEST_CASE("an unframed stream of an engine is complete with its end marker only")
{
    FrontDoors doors;
    doors.engine.setAnswer({.contentType = "text/event-stream", .body = std::string(EventsWithoutEnd) + EndMarker});
    REQUIRE(eventually([&] { return complete(doors).status != 503; }));
    const HttpAnswer whole = complete(doors);
    CHECK(whole.status == 200);
    CHECK(whole.body.find("\"text\":\"a\"") != std::string::npos);
    doors.engine.setAnswer({.contentType = "text/event-stream", .body = EventsWithoutEnd});
    CHECK(complete(doors).status == 502);
}

#include "fakeplatform/rawupstream.h"
#include "proxy/entryvmtasks.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

// Guards against a deposit that runs twice, and against a false "not run": the refusal of another request, which arrives late on the connection, must not
// be taken for this one's.
TEST_CASE("an upstream's refusal counts only if it names the request")
{
    constexpr const char *Refusal = "Content-Length: 4\r\nCumindyke-Not-Executed: 1\r\n\r\nfull";
    // Each with an upstream of its own: one that has refused, or failed, gets no request for a while.
    const auto statusFor = [&](const std::string &status, const std::string &echo) {
        EntryVmTasks vms(1, 0);
        RawUpstream upstream(vms.network.host(FirstPlatformHost + 1));
        upstream.setAnswer({.contentType = "text/plain", .body = "ran", .moreHeaders = "Content-Length: 3\r\n"});
        vms.platform.addUpstream("i-refusing", upstream.address());
        REQUIRE(eventually([&] { return vms.request(0, "first").body == "ran"; }));
        upstream.setAnswer({.raw = "HTTP/1.1 " + status + "\r\n" + echo + Refusal});
        return vms.request(0, "asked").status;
    };
    for (const std::string status : {"503 Service Unavailable", "421 Misdirected Request", "429 Too Many Requests"}) {
        CAPTURE(status);
        CHECK(statusFor(status, "") == 502);
        CHECK(statusFor(status, "Cumindyke-Request-Id:\r\n") == 502);
        CHECK(statusFor(status, "Cumindyke-Request-Id: other\r\n") == 502);
        CHECK(statusFor(status, "Cumindyke-Request-Id: asked\r\n") == 503);
    }
}

#include "entry/frontdoors.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// The request that the head names, or nothing.
std::string idIn(const std::string &head)
{
    const std::string name = "X-Request-Id: ";
    const std::size_t at = head.find(name);
    return at == std::string::npos ? std::string() : head.substr(at + name.size(), head.find('\r', at) - at - name.size());
}

std::string complete(const FrontDoors &doors)
{
    constexpr std::string_view Body = R"({"model":"drafts","prompt":"x"})";
    RawConnection connection(Address{.host = doors.network.host(1), .port = FrontDoorPort});
    connection.send("POST /v1/completions HTTP/1.1\r\nHost: door\r\n" + ApiKey.front().first + ": " + ApiKey.front().second
                    + "\r\nConnection: close\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + std::string(Body));
    return connection.readAll();
}

}

// Guards against a second run after a refusal that was another request's: it names none, or was mixed up by the upstream.
TEST_CASE("the front door believes a refusal only if it names the request")
{
    enum class Named { Own, None, Empty, Other, EmptyAndOther };
    for (const Named named : {Named::Own, Named::None, Named::Empty, Named::Other, Named::EmptyAndOther}) {
        CAPTURE(static_cast<int>(named));
        FrontDoors doors;
        doors.engine.setAnswer({.contentType = "text/event-stream", .body = "data: [DONE]\n\n"});
        REQUIRE(eventually([&] { return complete(doors).find("HTTP/1.1 200") == 0; }));
        std::atomic<int> posts = 0;
        doors.engine.setAnswers([&posts, named](const std::string &head) {
            posts += head.starts_with("POST") ? 1 : 0;
            const std::map<Named, std::string> echoes{{Named::Own, "X-Request-Id: " + idIn(head) + "\r\n"},
                                                      {Named::None, ""},
                                                      {Named::Empty, "X-Request-Id:\r\n"},
                                                      {Named::Other, "X-Request-Id: other\r\n"},
                                                      {Named::EmptyAndOther, "X-Request-Id:\r\nX-Request-Id: other\r\n"}};
            return RawUpstream::Answer{.contentType = {},
                                       .body = {},
                                       .end = RawUpstream::End::Closed,
                                       .raw = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + echoes.at(named) + "Content-Length: 0\r\n\r\n"};
        });
        const std::string received = complete(doors);
        CAPTURE(received);
        const bool isProved = named == Named::Own;
        CHECK((received.find("X-Cumindyke-Outcome: not-run") != std::string::npos) == isProved);
        CHECK((received.find("X-Cumindyke-Outcome: unknown") != std::string::npos) == !isProved);
        CHECK((posts.load() > 1) == isProved);
    }
}

#include "upstream/upstreamcall.h"
#include "entry/httpserver.h"
#include "fakeplatform/rawupstream.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cumindyke;
using namespace cumindyke::test;

// Guards against a request that runs twice: it is cancelled as not sent and sent elsewhere, while its connection writes it after all.
TEST_CASE("a call that is cancelled before its first byte is sent never sends the request")
{
    EventLoop loop;
    auto door = HttpServer::listen(loop, Address{.host = "127.0.0.1", .port = 0}, std::chrono::seconds(1));
    REQUIRE(ok(door));
    std::set<std::string> arrived;
    valueOf(door)->arrived().connect([&](const std::shared_ptr<Exchange> &exchange) {
        arrived.insert(exchange->path());
        exchange->reply(200, "text/plain", "ran");
    });
    const auto callFor = [&](const std::string &target) {
        const Address address{.host = "127.0.0.1", .port = valueOf(door)->port()};
        return UpstreamCall(
            loop, UpstreamRequest{.id = RequestId{target}, .address = address, .method = "GET", .target = target, .headers = {}, .body = {}}, {});
    };
    UpstreamCall first = callFor("/first");
    UpstreamCall second = callFor("/second");
    bool cancelledUnsent = false;
    const auto cancelOther = [&](UpstreamCall &other) {
        if (!other.isSent() && !cancelledUnsent) {
            cancelledUnsent = true;
            other.cancel();
        }
    };
    first.sent().connect([&] { cancelOther(second); });
    second.sent().connect([&] { cancelOther(first); });
    first.start();
    second.start();
    Timer end(loop, [&] { loop.stop(); });
    end.startOnce(std::chrono::milliseconds(200));
    loop.run();
    CHECK(cancelledUnsent);
    CHECK(arrived.size() == 1);
}

namespace
{

/// How a call ends whose answer has these headers and this body; none: it is complete.
std::optional<CallFailure> failureOf(const std::string &headers, const std::string &body)
{
    const TestNetwork network;
    RawUpstream upstream(network.host(1));
    upstream.setAnswer({.contentType = "text/plain", .body = body, .moreHeaders = headers});
    EventLoop loop;
    UpstreamCall call(loop,
                      UpstreamRequest{.id = RequestId{"r"},
                                      .address = upstream.address(),
                                      .method = "GET",
                                      .target = "/",
                                      .headers = {},
                                      .body = {},
                                      .idHeader = "Cumindyke-Request-Id",
                                      .allowsCloseDelimitedBody = true},
                      {});
    std::optional<CallFailure> failure;
    call.finished().connect([&] { loop.stop(); });
    call.failed().connect([&](CallFailure why) {
        failure = why;
        loop.stop();
    });
    call.start();
    loop.run();
    return failure;
}

}

// Guards against an answer whose end the HTTP library and the upstream see in different places: a part, or the framing itself, would pass for the body.
TEST_CASE("an answer with an ambiguous or unknown framing is lost")
{
    CHECK_FALSE(failureOf("Content-Length: 5\r\n", "12345"));
    CHECK_FALSE(failureOf("Transfer-Encoding: Chunked\r\n", "5\r\n12345\r\n0\r\n\r\n"));
    CHECK_FALSE(failureOf("", "12345"));
    for (const char *headers : {
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: identity\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Content-Length: 5\r\nContent-Length: 10\r\n",
             "Content-Length: 5, 10\r\n",
             "Content-Length: -1\r\n",
             "Content-Length: 99999999999999999999\r\n",
             "Content-Length: 6\r\n",
         }) {
        CAPTURE(headers);
        CHECK(failureOf(headers, "12345") == CallFailure::Lost);
    }
    for (const char *body : {"5\r\n12345\r\n", "ffffffffffffffffff\r\n12345\r\n0\r\n\r\n", "5\r\n123"}) {
        CAPTURE(body);
        CHECK(failureOf("Transfer-Encoding: chunked\r\n", body) == CallFailure::Lost);
    }
}

// Guards against a body with bytes that belong to its framing, from an upstream that miscounts a chunk.
TEST_CASE("a chunk that is shorter or longer than its size is lost")
{
    for (const char *body : {"6\r\n12345\r\n0\r\n\r\n", "5\r\n123450\r\n\r\n"}) {
        CAPTURE(body);
        CHECK(failureOf("Transfer-Encoding: chunked\r\n", body) == CallFailure::Lost);
    }
}

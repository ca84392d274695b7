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

/// A call that has received more is ended.
constexpr std::size_t EnoughBytes = 256U << 10;

/// How a call ends that gets this answer; none: it is complete. "received" gets the body.
std::optional<CallFailure> failureOf(const RawUpstream::Answer &answer, const std::string &method = "GET", std::string *received = nullptr)
{
    const TestNetwork network;
    RawUpstream upstream(network.host(1));
    upstream.setAnswer(answer);
    EventLoop loop;
    UpstreamCall call(loop,
                      UpstreamRequest{.id = RequestId{"r"},
                                      .address = upstream.address(),
                                      .method = method,
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
    call.data().connect([&](std::string_view bytes) {
        if (received) {
            *received += bytes;
            if (received->size() > EnoughBytes) {
                loop.stop();
            }
        }
    });
    call.start();
    loop.run();
    return failure;
}

std::optional<CallFailure> failureOf(const std::string &headers, const std::string &body)
{
    return failureOf(RawUpstream::Answer{.contentType = "text/plain", .body = body, .moreHeaders = headers});
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

// Guards against bytes that are no answer and reach a caller as one, from an upstream in trouble.
TEST_CASE("an answer whose status line is no status line is lost")
{
    for (const char *statusLine : {"HTTP/1.1 000 OK",
                                   "HTTP/1.1 099 OK",
                                   "HTTP/1.1 101 Switching Protocols",
                                   "HTTP/1.1 600 OK",
                                   "HTTP/1.1 999 OK",
                                   "HTTP/1.1 1000 OK",
                                   "HTTP/1.1 -200 OK",
                                   "HTTP/1.1 20 OK",
                                   "HTTP/1.1 20x OK",
                                   "HTTP/1.1 200OK",
                                   "HTTP/1.1  200 OK",
                                   "HTTP/2.0 200 OK",
                                   "http/1.1 200 OK",
                                   "ICY 200 OK",
                                   "200 OK",
                                   ""}) {
        for (const char *method : {"GET", "HEAD", "POST"}) {
            CAPTURE(statusLine, method);
            const RawUpstream::Answer answer{.contentType = "text/plain", .body = "body", .moreHeaders = "Content-Length: 4\r\n", .statusLine = statusLine};
            CHECK(failureOf(answer, method) == CallFailure::Lost);
        }
    }
}

// Guards against a caller that gets an interim answer, or its headers, for the final one.
TEST_CASE("interim answers are skipped, and their headers are not the final answer's")
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nContent-Length: 70\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK";
    std::string received;
    CHECK_FALSE(failureOf({.contentType = "text/plain", .body = "body", .moreHeaders = "Content-Length: 4\r\n", .statusLine = interim}, "GET", &received));
    CHECK(received == "body");
    CHECK(failureOf({.contentType = "text/plain", .body = "", .statusLine = "HTTP/1.1 100 Continue"}) == CallFailure::Lost);
}

// Guards against memory and processor time that bytes without end use up long before any timeout, from an upstream in trouble.
TEST_CASE("bytes without end in a head or between chunks end the call")
{
    const std::string block(16U << 10, 'a');
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    CHECK(failureOf({.endless = block, .raw = "HTTP/1.1 200 "}) == CallFailure::Lost);
    CHECK(failureOf({.endless = block, .raw = "HTTP/1.1 200 OK\r\nX: "}) == CallFailure::Lost);
    CHECK(failureOf({.endless = "X: y\r\n", .raw = "HTTP/1.1 200 OK\r\n"}) == CallFailure::Lost);
    CHECK(failureOf({.endless = interim, .raw = interim}) == CallFailure::Lost);
    CHECK(failureOf({.contentType = "a", .body = "5;", .moreHeaders = chunked, .endless = block}) == CallFailure::Lost);
    CHECK(failureOf({.contentType = "a", .body = "00000000", .moreHeaders = chunked, .endless = "0"}) == CallFailure::Lost);
    CHECK(failureOf({.contentType = "a", .body = "0\r\nX: ", .moreHeaders = chunked, .endless = block}) == CallFailure::Lost);
    CHECK(failureOf({.contentType = "a", .body = "0\r\n", .moreHeaders = chunked, .endless = "X: y\r\n"}) == CallFailure::Lost);
}

// Guards against a chunk without end that is held until it is whole: it uses up the VM's memory, and its call's progress timeout ends it while it sends.
TEST_CASE("the data of a chunk is passed on before the chunk is whole")
{
    const std::string block(16U << 10, 'a');
    std::string received;
    failureOf({.contentType = "a", .body = "ffffffffffffff\r\n", .moreHeaders = "Transfer-Encoding: chunked\r\n", .endless = block}, "GET", &received);
    CHECK(received.size() > EnoughBytes);
}

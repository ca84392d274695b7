#include "upstream/upstreamcall.h"
#include "entry/httpserver.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cumindyke;

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

#include "entry/answers.h"
#include "entry/httpserver.h"
#include "entry/requesttraits.h"
#include "support/processes.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <event2/event.h>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

std::string brackets(char bracket)
{
    return std::string(500'000, bracket);
}

const std::string Nested = "{\"a\":" + brackets('[') + brackets(']') + "}";

}

// Guards against a stack overflow, which ends the entry VM: an upstream's event is nested half a million levels deep where a copy of it is made.
TEST_CASE("an upstream's deeply nested event ends no process, and the answer goes on without it")
{
    const TestNetwork network;
    EventLoop loop;
    auto door = HttpServer::listen(loop, Address{.host = network.host(1), .port = 0}, std::chrono::seconds(5));
    REQUIRE(ok(door));
    std::shared_ptr<Exchange> exchange;
    valueOf(door)->arrived().connect([&exchange](const std::shared_ptr<Exchange> &arrived) { exchange = arrived; });
    RawConnection connection(Address{.host = network.host(1), .port = valueOf(door)->port()});
    connection.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    while (!exchange) {
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    AssembledAnswer answer(exchange, RequestId{"one"}, false);
    answer.handleData("data: {\"usage\":" + Nested + "}\n\n");
    answer.handleData("data: {\"choices\":[{\"delta\":" + Nested + "}]}\n\n");
    answer.handleData("data: {\"choices\":[{\"text\":\"whole\"}]}\n\ndata: [DONE]\n\n");
    CHECK(answer.finish());
    exchange.reset();
    for (int turn = 0; turn < 10; ++turn) {
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
    CHECK(connection.readUntil("whole").find("whole") != std::string::npos);
}

// Guards against the same fault where the parts of a prompt are named: a caller's message is nested that deeply.
TEST_CASE("a deeply nested message names no part of a prompt, and ends no process")
{
    CHECK(parsePromptParts("desk", PromptFormat::CompletionBody, "{\"messages\":[" + Nested + ",1]}").empty());
}

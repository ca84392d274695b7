#include "fakeplatform/rawupstream.h"
#include "proxy/entryvmtasks.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

// Guards against a planned stop that cuts an answer: the upstream was done, and the process exited though the caller had not read all of it.
TEST_CASE("a VM that shuts down waits until its callers have read their answers")
{
    constexpr std::size_t BudgetBytes = 64 << 20;
    // Held whole, and more than the kernel takes.
    const std::string body(250'000, 'b');
    EntryVmTasks vms(1, 0, v1::STREAMING, BudgetBytes);
    RawUpstream upstream(vms.network.host(FirstPlatformHost + 1));
    upstream.setAnswer({.contentType = "text/plain", .body = body, .moreHeaders = "Content-Length: " + std::to_string(body.size()) + "\r\n"});
    vms.platform.addUpstream("i-raw", upstream.address());
    REQUIRE(eventually([&] { return vms.isServed(0, "warm" + std::to_string(EventLoop::now().time_since_epoch().count())); }));

    RawConnection caller(vms.callerAddress(0), 4096);
    caller.send("POST /deposits/a HTTP/1.1\r\nHost: desk.example\r\nCumindyke-Request-Id: id-1\r\nCumindyke-Key: key-1\r\nContent-Length: 0\r\n\r\n");
    const std::string head = caller.readUntil("\r\n\r\n");
    std::atomic<bool> hasDrained = false;
    vms.tasks[0]->post(ProxyDrain{.drained = [&] { hasDrained = true; }});
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK_FALSE(hasDrained);
    CHECK(caller.readUntil("\r\n\r\n" + body).size() > body.size());
    CHECK(eventually([&] { return hasDrained.load(); }));
}

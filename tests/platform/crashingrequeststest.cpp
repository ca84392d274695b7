#include "fakeplatform/platformsystem.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>
#include <vector>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr int Upstreams = 6;
/// The platform allows this many further upstreams to a request once it has ended three and VMs had ContactWindow to learn of it.
constexpr int AllowedRetries = 3;
constexpr int EndsUntilKnown = 3;
constexpr Duration ContactWindow = std::chrono::seconds(3);

/// Sends copies of one request, each with its own id, to both entry VMs in turn.
class RepeatingCaller
{
public:
    explicit RepeatingCaller(const System &system)
        : m_system(system)
    {
    }
    HttpAnswer send()
    {
        const int vm = ControlVms + 1 + m_sent % EntryVms;
        return http(m_system.callerAddress(vm), "POST", "/drafts/a", callerHeaders("copy-" + std::to_string(++m_sent)), FakePlatform::CrashingBody);
    }

private:
    const System &m_system;
    int m_sent = 0;
};

}

// Guards against a request that ends each upstream that runs it, one after the other: every copy has a new id and comes to any VM.
TEST_CASE("process: a request that ended three upstreams reaches at most three more")
{
    constexpr int MaxCopies = 40;
    constexpr int LaterCopies = 8;
    System system("", Upstreams);
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    RepeatingCaller caller(system);
    for (int copy = 0; copy < MaxCopies && system.platform.endedCount() < EndsUntilKnown; ++copy) {
        caller.send();
    }
    REQUIRE(system.platform.endedCount() >= EndsUntilKnown);
    std::this_thread::sleep_for(ContactWindow);

    const std::size_t before = system.platform.seen().size();
    for (int copy = 0; copy < LaterCopies; ++copy) {
        const HttpAnswer answer = caller.send();
        CHECK((answer.status != 200 || answer.failure));
    }
    CHECK(system.platform.seen().size() <= before + AllowedRetries);
}

// Guards against a count that a restart of all processes resets: the request would end three more upstreams after each.
TEST_CASE("process: what a request has ended is still counted after all VMs were killed")
{
    constexpr int LaterCopies = 12;
    System system("", Upstreams);
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    RepeatingCaller caller(system);
    // The third copy waits for a trial, which the log grants after it has the report on the second.
    for (int copy = 0; copy < EndsUntilKnown; ++copy) {
        caller.send();
    }
    REQUIRE(system.platform.endedCount() == EndsUntilKnown);
    for (auto &[vm, daemon] : system.daemons) {
        daemon->signal(SIGKILL);
        daemon->wait();
    }
    for (int vm = 1; vm <= ControlVms + EntryVms; ++vm) {
        system.start(vm);
    }
    REQUIRE(system.waitUntilReady());
    for (int copy = 0; copy < LaterCopies; ++copy) {
        caller.send();
    }
    // The report on the third may be lost with its VM.
    CHECK(system.platform.endedCount() <= EndsUntilKnown + 1);
}

// Guards against refusing the requests that ran beside one that ends upstreams.
TEST_CASE("process: requests that ran beside one that ends upstreams are served again")
{
    constexpr int Neighbours = 8;
    constexpr int MaxCopies = 40;
    System system("", Upstreams);
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    const auto neighbour = [&system](int number) {
        const int vm = ControlVms + 1 + number % EntryVms;
        return http(system.callerAddress(vm), "POST", "/drafts/stream", callerHeaders("neighbour-" + std::to_string(number)), "body " + std::to_string(number));
    };
    RepeatingCaller caller(system);
    bool isRefused = false;
    for (int copy = 0; copy < MaxCopies && !isRefused; ++copy) {
        std::vector<std::thread> neighbours;
        for (int number = 0; number < Neighbours; ++number) {
            neighbours.emplace_back([&neighbour, number] { neighbour(number); });
        }
        isRefused = caller.send().body.find("upstreams ended while they ran this request") != std::string::npos;
        for (std::thread &thread : neighbours) {
            thread.join();
        }
    }
    REQUIRE(isRefused);
    for (int number = 0; number < Neighbours; ++number) {
        CHECK(eventually([&] { return neighbour(number).status == 200; }));
    }
}

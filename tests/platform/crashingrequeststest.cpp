#include "fakeplatform/platformsystem.h"

#include <catch2/catch.hpp>

#include <thread>

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

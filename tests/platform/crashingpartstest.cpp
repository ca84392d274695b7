#include "fakeplatform/platformsystem.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr int Upstreams = 6;
/// The platform allows this many further requests with a part that has ended five upstreams, once VMs had ContactWindow to learn of it.
constexpr std::size_t AllowedRequests = 3;
constexpr int EndsUntilKnown = 5;
constexpr Duration ContactWindow = std::chrono::seconds(3);

/// Sends requests of different content to both entry VMs in turn. Their prompts begin with one of three parts, as those of all callers do.
class PromptCaller
{
public:
    explicit PromptCaller(const System &system)
        : m_system(system)
    {
    }
    HttpAnswer sendCrashing()
    {
        return send(std::string(FakePlatform::CrashingPart) + ":400,");
    }
    HttpAnswer sendSound()
    {
        return send("");
    }

private:
    HttpAnswer send(const std::string &middlePart)
    {
        const std::string number = std::to_string(++m_sent);
        HeaderList headers = callerHeaders("prompt-" + number);
        headers.emplace_back("Cumindyke-Prompt-Prefix", "a" + std::to_string(m_sent / 2 % 3) + ":60," + middlePart + "00" + number + ":200");
        return http(m_system.callerAddress(ControlVms + 1 + m_sent % EntryVms), "POST", "/drafts/stream", headers, "body " + number);
    }

    const System &m_system;
    int m_sent = 0;
};

/// Sends requests with the crashing part until they have ended enough upstreams, or all are refused.
void sendCrashing(const System &system, PromptCaller &caller)
{
    constexpr int MaxRequests = 40;
    for (int request = 0; request < MaxRequests && system.platform.endedCount() < EndsUntilKnown; ++request) {
        caller.sendCrashing();
    }
    std::this_thread::sleep_for(ContactWindow);
}

}

// Guards against a part of a prompt that ends each upstream that answers it, in requests of which no two are alike.
TEST_CASE("process: requests with a prompt part that ended five upstreams reach at most three more")
{
    constexpr int LaterRequests = 8;
    System system("", Upstreams);
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    PromptCaller caller(system);
    sendCrashing(system, caller);

    const std::size_t before = system.platform.seenWithCrashingPart();
    for (int request = 0; request < LaterRequests; ++request) {
        const HttpAnswer answer = caller.sendCrashing();
        CHECK((answer.status != 200 || answer.failure));
    }
    CHECK(system.platform.seenWithCrashingPart() <= before + AllowedRequests);
}

// Guards against a refusal that a restart of all processes undoes: a VM that has just started knows nothing but what its first lease brings.
TEST_CASE("process: requests with a prompt part that ends upstreams are still refused after all VMs were killed")
{
    constexpr int LaterRequests = 6;
    System system("", Upstreams);
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    PromptCaller caller(system);
    sendCrashing(system, caller);
    for (auto &[vm, daemon] : system.daemons) {
        daemon->signal(SIGKILL);
        daemon->wait();
    }
    for (int vm = 1; vm <= ControlVms + EntryVms; ++vm) {
        system.start(vm);
    }
    REQUIRE(system.waitUntilReady());
    const std::size_t before = system.platform.seenWithCrashingPart();
    for (int request = 0; request < LaterRequests; ++request) {
        caller.sendCrashing();
    }
    CHECK(system.platform.seenWithCrashingPart() <= before + AllowedRequests);
}

// Guards against refusing the callers, or the requests with the same first part, of those that end upstreams.
TEST_CASE("process: sound requests are served beside those with a prompt part that ends upstreams")
{
    constexpr int SoundRequests = 20;
    System system("", Upstreams);
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    PromptCaller caller(system);
    sendCrashing(system, caller);

    int served = 0;
    for (int request = 0; request < SoundRequests; ++request) {
        served += caller.sendSound().status == 200 ? 1 : 0;
        caller.sendCrashing();
    }
    CHECK(served == SoundRequests);
}

#include "fakeplatform/platformsystem.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <list>
#include <nlohmann/json.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr int StoppedVm = ControlVms + 1;
constexpr int OtherVm = ControlVms + 2;
constexpr std::chrono::seconds Grace{4};
/// Slots of the only upstream, which the test fills with requests that outlast the grace.
constexpr int Slots = 4;

/// Requests wait for a slot, and run, for longer than the grace.
std::string patientDocument()
{
    nlohmann::json document = nlohmann::json::parse(documentOf(3));
    for (nlohmann::json &route : document["routes"]) {
        route["timeoutMs"] = 9000;
        route["targetLatencyMs"] = 9000;
    }
    return document.dump();
}

HeaderList patientCaller(const std::string &id)
{
    HeaderList headers = callerHeaders(id);
    headers[2].second = "9000";
    return headers;
}

/// A caller that waits for its answer.
struct Caller
{
    Caller(const System &system, std::string target, std::string requestId)
        : id(std::move(requestId))
        , thread([this, &system, path = std::move(target)] { answer = http(system.callerAddress(StoppedVm), "POST", path, patientCaller(id)); })
    {
    }

    const std::string id;
    HttpAnswer answer;
    std::thread thread;
};

std::size_t runs(const System &system, const std::string &id)
{
    const std::vector<SeenRequest> seen = system.platform.seen();
    return static_cast<std::size_t>(std::ranges::count_if(seen, [&id](const SeenRequest &run) { return run.header("Cumindyke-Request-Id") == id; }));
}

/// Sends SIGTERM, and SIGKILL at the end of the grace, as the platform does.
class PlannedStop
{
public:
    PlannedStop(System &system, std::chrono::seconds grace)
        : m_process(*system.daemons[StoppedVm])
        , m_grace(grace)
        , m_startedAt(std::chrono::steady_clock::now())
    {
        m_process.signal(SIGTERM);
    }
    void waitUntil(std::chrono::milliseconds sinceStart) const
    {
        std::this_thread::sleep_until(m_startedAt + sinceStart);
    }
    /// Returns the exit code; 128 + SIGKILL: the process still ran at the end of the grace.
    int end()
    {
        while (m_process.running() && std::chrono::steady_clock::now() < m_startedAt + m_grace) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        if (m_process.running()) {
            m_process.signal(SIGKILL);
        }
        return m_process.wait();
    }
    Process &process()
    {
        return m_process;
    }

private:
    Process &m_process;
    const std::chrono::seconds m_grace;
    const std::chrono::steady_clock::time_point m_startedAt;
};

std::string settingsFor(std::chrono::seconds grace)
{
    return "shutdown_grace_s = " + std::to_string(grace.count()) + "\n";
}

/// The VM places its requests itself, so that it knows all used slots, and has seen that requests of the route "deposits" end soon.
void startServing(System &system)
{
    REQUIRE(system.publish(patientDocument()));
    REQUIRE(system.waitUntilReady());
    system.daemons[OtherVm]->signal(SIGKILL);
    REQUIRE(eventually([&] { return http(system.callerAddress(StoppedVm), "POST", "/deposits/a", patientCaller("first")).status == 200; }));
}

bool isRefusedNotRun(const HttpAnswer &answer)
{
    return answer.status == 503 && answer.body.find("not-run") != std::string::npos && std::stod("1" + answer.header("Retry-After")) == 10
        && answer.header("Connection") == "close";
}

void joinAll(std::list<Caller> &callers)
{
    for (Caller &caller : callers) {
        caller.thread.join();
    }
}

}

// Guards against requests that get no answer in a planned stop. They were admitted in the grace, waited for a slot or ran for longer than what was left, and
// the platform's SIGKILL at the end of the grace closed their connections: their callers did not know whether requests that may not be repeated had run.
TEST_CASE("process: every request of a VM that is stopped and then killed gets an answer that says whether it ran")
{
    System system(settingsFor(Grace));
    startServing(system);
    const std::size_t before = system.platform.seen().size();

    std::list<Caller> running;
    running.emplace_back(system, "/drafts/slow-stream", "stream");
    for (int i = 1; i < Slots; ++i) {
        running.emplace_back(system, "/deposits/slow-stream", "running-" + std::to_string(i));
    }
    REQUIRE(eventually([&] { return system.platform.seen().size() == before + Slots; }));

    PlannedStop stop(system, Grace);
    std::list<Caller> waiting;
    for (int i = 1; i <= 5; ++i) {
        stop.waitUntil(std::chrono::milliseconds(500 * i));
        // Signals that are repeated or concern the settings change nothing.
        stop.process().signal(i % 2 == 0 ? SIGTERM : SIGHUP);
        waiting.emplace_back(system, "/deposits/a", "waiting-" + std::to_string(i));
    }
    const int exitCode = stop.end();
    joinAll(running);
    joinAll(waiting);

    CHECK(exitCode == 0);
    for (const Caller &caller : waiting) {
        CAPTURE(caller.id, caller.answer.body);
        CHECK(isRefusedNotRun(caller.answer));
        CHECK(runs(system, caller.id) == 0);
    }
    for (const Caller &caller : running) {
        CAPTURE(caller.id, caller.answer.body);
        CHECK(runs(system, caller.id) == 1);
        if (caller.id == "stream") {
            CHECK(caller.answer.status == 200);
            CHECK(caller.answer.failure == CallFailure::Lost);
        } else {
            CHECK(caller.answer.status == 502);
            CHECK(caller.answer.body.find("it may have run") != std::string::npos);
        }
    }
}

// Guards against a VM that, once it shuts down, refuses what it could still serve, or takes a request that lasts longer than the rest of the grace.
TEST_CASE("process: a VM that is stopped serves the requests that end within the grace and refuses the others at once")
{
    constexpr std::chrono::seconds LongGrace{8};
    System system(settingsFor(LongGrace));
    startServing(system);
    PlannedStop stop(system, LongGrace);
    REQUIRE(eventually([&] { return !system.isReady(StoppedVm); }));
    CHECK(http(system.callerAddress(StoppedVm), "POST", "/deposits/a", patientCaller("short")).status == 200);
    // Nothing is known of this route but the deadline of 9 s.
    CHECK(isRefusedNotRun(http(system.callerAddress(StoppedVm), "POST", "/drafts/stream", patientCaller("long"))));
    CHECK(runs(system, "long") == 0);
    // A deadline within the grace bounds it.
    CHECK(http(system.callerAddress(StoppedVm), "POST", "/drafts/stream", callerHeaders("bounded")).body.find("part 3") != std::string::npos);
    CHECK(stop.end() == 0);
}

// Guards against requests without an answer where the platform grants no time at all.
TEST_CASE("process: without any grace a VM that is stopped answers what runs at once and exits")
{
    System system(settingsFor(std::chrono::seconds(0)));
    startServing(system);
    const std::size_t before = system.platform.seen().size();
    Caller running(system, "/deposits/slow-stream", "running");
    REQUIRE(eventually([&] { return system.platform.seen().size() == before + 1; }));
    system.daemons[StoppedVm]->signal(SIGTERM);
    CHECK(system.daemons[StoppedVm]->wait() == 0);
    running.thread.join();
    CHECK(running.answer.status == 502);
    CHECK(running.answer.body.find("it may have run") != std::string::npos);
}

#include "support/testdeployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// An office whose drafting service has an engine of version v1 and one of v2, under constant traffic of short drafts.
class MovingOffice
{
public:
    MovingOffice()
        : m_new(m_folder, "drafting-new", m_network.host(21), {"--step-ms", "2", "--version", "v2"})
        , m_office(TestDeploymentOptions{.upstreamArguments = {"--step-ms", "2"},
                                         .extraDeclarations
                                         = "[[upstream]]\nname = \"drafting-new\"\nservice = \"drafting\"\nversion = \"v2\"\ndata_centre = \"local\"\n"
                                           "slots = 16\naddress = \""
                                             + toString(m_new.address()) + "\"\n"})
    {
        for (int i = 0; i < Callers; ++i) {
            m_callers.emplace_back([this](const std::stop_token &stop) { call(stop); });
        }
    }

    TestDeployment &deployment()
    {
        return m_office;
    }
    FakeUpstreamProcess &newEngine()
    {
        return m_new;
    }
    void start(const std::string &deadline)
    {
        const ProcessResult started = m_office.daemon().ctl({"move", "start", "drafting", "v2", "--deadline", deadline});
        INFO(started.out << started.error);
        REQUIRE(started.exitCode == 0);
    }
    nlohmann::json move()
    {
        const ProcessResult status = m_office.daemon().ctl({"move", "status", "drafting", "--output", "json"});
        const nlohmann::json json = nlohmann::json::parse(status.out, nullptr, false);
        return json.is_object() && json.contains("moves") && !json["moves"].empty() ? json["moves"][0] : nlohmann::json::object();
    }
    /// Waits for the state; returns false as soon as the move has ended in another one.
    bool waitForState(const std::string &state)
    {
        std::string now;
        const bool ended = eventually(
            [&] {
                now = move().value("state", "");
                return now == state || now == "MOVE_STATE_DONE" || now == "MOVE_STATE_TAKEN_BACK";
            },
            std::chrono::seconds(150));
        return ended && now == state;
    }
    int wrongAnswers() const
    {
        return m_wrong;
    }

private:
    static constexpr int Callers = 8;

    void call(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            const HttpAnswer answer = m_office.draft("Guest list", 3);
            const StreamedText text = streamedText(answer.body);
            // Wrong: an answer that looks complete to the caller but is not the whole text and does not end in an error. An answer cut off by a
            // killed daemon is recognized as incomplete.
            const bool looksComplete = answer.status == 200 && !answer.failure && text.error.empty();
            m_wrong += looksComplete && !(text.whole && text.text == expectedText("Guest list", 3)) ? 1 : 0;
            // Limits the rate of the callers when a failing engine answers at once.
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    TemporaryFolder m_folder;
    TestNetwork m_network;
    FakeUpstreamProcess m_new;
    TestDeployment m_office;
    std::atomic<int> m_wrong = 0;
    std::vector<std::jthread> m_callers;
};

}

// The new engine begins to fail when it gets part of the traffic. The leader must find the failures against the old version's answers and roll the
// move back; operators see the state and its reason, and the old version gets all traffic.
TEST_CASE("a move to a version that begins to fail is rolled back, and operators see the reason")
{
    MovingOffice moving;
    moving.start("10m");
    REQUIRE(eventually([&] { return countEvents(moving.newEngine().log(), "run") > 20; }));
    moving.newEngine().setFaults(R"({"fail":true})");
    REQUIRE(moving.waitForState("MOVE_STATE_TAKEN_BACK"));
    const ProcessResult status = moving.deployment().daemon().ctl({"move", "status"});
    CHECK(status.out.find("taken back") != std::string::npos);
    CHECK(status.out.find("answers fail") != std::string::npos);
    // The new engine gets no more requests: the ones in flight end, then the count of its runs stays the same.
    int runs = -1;
    CHECK(eventually([&] {
        const int before = std::exchange(runs, countEvents(moving.newEngine().log(), "run"));
        std::this_thread::sleep_for(std::chrono::seconds(1));
        return before == runs;
    }));
    CHECK(moving.deployment().daemon().log().find("move-taken-back") != std::string::npos);
    CHECK(moving.deployment().metrics().find("cumindyke_move_states_total{service=\"drafting\",state=\"taken back\"} 1") != std::string::npos);
    CHECK(moving.deployment().daemon().ctl({"get"}).out.find("service drafting version v1") != std::string::npos);
    CHECK(moving.wrongAnswers() == 0);
}

// The leader is killed during the move. After its restart it must continue from the share in the log, collect evidence anew and end the move by the
// deadline, with the new version declared.
TEST_CASE("a move to a good version is done by its deadline, also when the leader is killed")
{
    MovingOffice moving;
    moving.start("90s");
    REQUIRE(eventually([&] { return moving.move().value("share_permille", 0) > 0; }));
    moving.deployment().daemon().process().signal(SIGKILL);
    moving.deployment().daemon().process().wait();
    moving.deployment().daemon().start();
    const bool isDone = moving.waitForState("MOVE_STATE_DONE");
    INFO(moving.move().dump());
    REQUIRE(isDone);
    const nlohmann::json move = moving.move();
    CHECK(std::stoll(move["state_since_ms"].get<std::string>()) <= std::stoll(move["deadline_ms"].get<std::string>()));
    CHECK(moving.deployment().daemon().ctl({"get"}).out.find("service drafting version v2") != std::string::npos);
    CHECK(moving.deployment().daemon().ctl({"move", "status"}).out.find("done") != std::string::npos);
    CHECK(moving.wrongAnswers() == 0);
}

#include "support/testdeployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace cumindyke;
using namespace cumindyke::test;

// Measurements, not checks: hidden, run by name for docs/measurements/request-path.md. They print and assert nothing about time.

namespace
{

/// Calls on one loop, a fixed number at once, until a total has ended.
class ClosedLoop
{
public:
    ClosedLoop(UpstreamRequest request, int atOnce, int total)
        : m_request(std::move(request))
        , m_total(total)
    {
        m_calls.resize(static_cast<std::size_t>(atOnce));
    }

    void run(const std::string &name)
    {
        const TimePoint start = EventLoop::now();
        for (std::size_t i = 0; i < m_calls.size(); ++i) {
            next(i);
        }
        m_loop.run();
        const double seconds = std::chrono::duration<double>(EventLoop::now() - start).count();
        std::ranges::sort(m_latencies);
        const auto at = [this](double share) {
            return std::chrono::duration<double, std::milli>(m_latencies[static_cast<std::size_t>(share * (m_latencies.size() - 1))]).count();
        };
        std::cout << name << ": " << m_latencies.size() / seconds << " requests/s, p50 " << at(0.5) << " ms, p99 " << at(0.99) << " ms, failed " << m_failed
                  << "\n";
    }

private:
    void next(std::size_t index)
    {
        if (m_started++ >= m_total) {
            return;
        }
        const TimePoint start = EventLoop::now();
        // The stand-in knows requests by their id.
        m_request.id = RequestId{"figure-" + std::to_string(start.time_since_epoch().count()) + "-" + std::to_string(index)};
        m_calls[index] = std::make_unique<UpstreamCall>(m_loop, m_request, ProgressTimeouts{});
        m_calls[index]->finished().connect([this, index, start] { done(index, start, false); });
        m_calls[index]->failed().connect([this, index, start](CallFailure) { done(index, start, true); });
        m_calls[index]->start();
    }

    void done(std::size_t index, TimePoint start, bool failed)
    {
        m_failed += failed ? 1 : 0;
        m_latencies.push_back(EventLoop::now() - start);
        if (static_cast<int>(m_latencies.size()) == m_total) {
            m_loop.stop();
            return;
        }
        next(index);
    }

    EventLoop m_loop;
    UpstreamRequest m_request;
    const int m_total;
    int m_started = 0;
    int m_failed = 0;
    std::vector<std::unique_ptr<UpstreamCall>> m_calls;
    std::vector<Duration> m_latencies;
};

std::size_t residentBytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Opens streams and holds them; prints the daemon's memory for each.
void holdOpen(TestDeployment &deployment, const std::string &name, int count, int awaitHeads)
{
    EventLoop loop;
    int heads = 0;
    int failed = 0;
    const std::size_t before = residentBytes(deployment.daemon().process().pid());
    std::vector<std::unique_ptr<UpstreamCall>> calls;
    for (int i = 0; i < count; ++i) {
        HeaderList headers = ApiKeyHeaders;
        headers.emplace_back("X-Cumindyke-Deadline-Ms", "600000");
        calls.push_back(
            std::make_unique<UpstreamCall>(loop,
                                           UpstreamRequest{
                                               .id = {},
                                               .address = deployment.daemonAddress(),
                                               .method = "POST",
                                               .target = "/v1/completions",
                                               .headers = headers,
                                               .body = draftBody("notice " + std::to_string(i), 1000),
                                           },
                                           ProgressTimeouts{.connect = WaitTimeout, .firstByte = 10 * WaitTimeout, .betweenBytes = 10 * WaitTimeout}));
        calls.back()->head().connect([&heads](const AnswerHead &head) { heads += head.status == 200 ? 1 : 0; });
        calls.back()->failed().connect([&failed](CallFailure) { ++failed; });
        calls.back()->start();
    }
    int rounds = 0;
    Timer look(loop, [&] {
        if (heads + failed >= awaitHeads && ++rounds > 20) {
            loop.stop();
        }
    });
    look.startEvery(std::chrono::milliseconds(100));
    Timer patience(loop, [&loop] { loop.stop(); });
    patience.startOnce(std::chrono::seconds(90));
    loop.run();
    const std::size_t after = residentBytes(deployment.daemon().process().pid());
    std::cout << name << ": " << count << " sent, " << heads << " streaming, " << failed << " failed, "
              << (after - before) / 1024 / static_cast<std::size_t>(count) << " KiB each, daemon " << after / (1U << 20) << " MiB\n";
}

}

TEST_CASE("figures: through the daemon against straight to the stand-in", "[.figures]")
{
    TestDeployment deployment(TestDeploymentOptions{.slots = 256, .upstreamArguments = {"--step-ms", "1", "--max-batch", "256"}});
    const UpstreamRequest draft{
        .address = deployment.daemonAddress(), .method = "POST", .target = "/v1/completions", .headers = ApiKeyHeaders, .body = draftBody("notice", 4)};
    const UpstreamRequest look{.address = deployment.daemonAddress(), .method = "GET", .target = "/services/booking/slots", .headers = ApiKeyHeaders};
    UpstreamRequest straightDraft = draft;
    straightDraft.address = deployment.drafting().address();
    UpstreamRequest straightLook = look;
    straightLook.address = deployment.booking().address();
    straightLook.target = "/slots";
    for (const int atOnce : {1, 16, 64}) {
        const std::string name = ", " + std::to_string(atOnce) + " at once";
        const int total = atOnce == 1 ? 300 : 4000;
        for (int round = 0; round < 3; ++round) {
            ClosedLoop(straightDraft, atOnce, total).run("model, straight" + name);
            ClosedLoop(draft, atOnce, total).run("model, daemon" + name);
            ClosedLoop(straightLook, atOnce, total).run("plain, straight" + name);
            ClosedLoop(look, atOnce, total).run("plain, daemon" + name);
        }
    }
}

TEST_CASE("figures: memory of open streams", "[.figures]")
{
    TestDeployment deployment(TestDeploymentOptions{.slots = 20'000, .upstreamArguments = {"--step-ms", "1000", "--max-batch", "20000"}});
    holdOpen(deployment, "streaming", 9'000, 9'000);
}

TEST_CASE("figures: memory of waiting requests", "[.figures]")
{
    TestDeployment deployment(TestDeploymentOptions{.slots = 1, .upstreamArguments = {"--step-ms", "1000"}});
    holdOpen(deployment, "waiting", 9'000, 1);
}

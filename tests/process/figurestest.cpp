#include "support/testdeployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace cumindyke;
using namespace cumindyke::test;

// Measurements for docs/measurements/request-path.md. They are hidden, are run by name, and print times without checking them.

namespace
{

/// Sends a total number of requests on one event loop, with a fixed number in flight, and prints throughput and latencies.
class ClosedLoop
{
public:
    ClosedLoop(UpstreamRequest request, int concurrency, int total)
        : m_request(std::move(request))
        , m_total(total)
    {
        m_calls.resize(static_cast<std::size_t>(concurrency));
    }

    void run(const std::string &name)
    {
        const TimePoint start = EventLoop::now();
        for (std::size_t i = 0; i < m_calls.size(); ++i) {
            startCall(i);
        }
        m_loop.run();
        const double seconds = std::chrono::duration<double>(EventLoop::now() - start).count();
        std::ranges::sort(m_latencies);
        const auto percentile = [this](double share) {
            return std::chrono::duration<double, std::milli>(m_latencies[static_cast<std::size_t>(share * (m_latencies.size() - 1))]).count();
        };
        std::cout << name << ": " << m_latencies.size() / seconds << " requests/s, p50 " << percentile(0.5) << " ms, p99 " << percentile(0.99) << " ms, failed "
                  << m_failed << "\n";
    }

private:
    void startCall(std::size_t index)
    {
        if (m_started++ >= m_total) {
            return;
        }
        const TimePoint start = EventLoop::now();
        // The fake upstream identifies requests by their id.
        m_request.id = RequestId{"figure-" + std::to_string(start.time_since_epoch().count()) + "-" + std::to_string(index)};
        m_calls[index] = std::make_unique<UpstreamCall>(m_loop, m_request, ProgressTimeouts{});
        m_calls[index]->finished().connect([this, index, start] { onCallEnded(index, start, false); });
        m_calls[index]->failed().connect([this, index, start](CallFailure) { onCallEnded(index, start, true); });
        m_calls[index]->start();
    }

    void onCallEnded(std::size_t index, TimePoint start, bool failed)
    {
        m_failed += failed ? 1 : 0;
        m_latencies.push_back(EventLoop::now() - start);
        if (static_cast<int>(m_latencies.size()) == m_total) {
            m_loop.stop();
            return;
        }
        startCall(index);
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

/// Opens streams, keeps them open and prints the daemon's memory per stream.
void measureOpenStreams(TestDeployment &deployment, const std::string &name, int count, int expectedHeads)
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
    int pollsAfterHeads = 0;
    Timer poll(loop, [&] {
        if (heads + failed >= expectedHeads && ++pollsAfterHeads > 20) {
            loop.stop();
        }
    });
    poll.startEvery(std::chrono::milliseconds(100));
    Timer limit(loop, [&loop] { loop.stop(); });
    limit.startOnce(std::chrono::seconds(90));
    loop.run();
    const std::size_t after = residentBytes(deployment.daemon().process().pid());
    std::cout << name << ": " << count << " sent, " << heads << " streaming, " << failed << " failed, "
              << (after - before) / 1024 / static_cast<std::size_t>(count) << " KiB each, daemon " << after / (1U << 20) << " MiB\n";
}

}

TEST_CASE("figures: through the daemon and directly at the fake upstream", "[.figures]")
{
    TestDeployment deployment(TestDeploymentOptions{.slots = 256, .upstreamArguments = {"--step-ms", "1", "--max-batch", "256"}});
    const UpstreamRequest draft{
        .address = deployment.daemonAddress(), .method = "POST", .target = "/v1/completions", .headers = ApiKeyHeaders, .body = draftBody("notice", 4)};
    const UpstreamRequest lookup{.address = deployment.daemonAddress(), .method = "GET", .target = "/services/booking/slots", .headers = ApiKeyHeaders};
    UpstreamRequest directDraft = draft;
    directDraft.address = deployment.drafting().address();
    UpstreamRequest directLookup = lookup;
    directLookup.address = deployment.booking().address();
    directLookup.target = "/slots";
    for (const int concurrency : {1, 16, 64}) {
        const std::string name = ", " + std::to_string(concurrency) + " at once";
        const int total = concurrency == 1 ? 300 : 4000;
        for (int round = 0; round < 3; ++round) {
            ClosedLoop(directDraft, concurrency, total).run("model, straight" + name);
            ClosedLoop(draft, concurrency, total).run("model, daemon" + name);
            ClosedLoop(directLookup, concurrency, total).run("plain, straight" + name);
            ClosedLoop(lookup, concurrency, total).run("plain, daemon" + name);
        }
    }
}

TEST_CASE("figures: memory of open streams", "[.figures]")
{
    TestDeployment deployment(TestDeploymentOptions{.slots = 20'000, .upstreamArguments = {"--step-ms", "1000", "--max-batch", "20000"}});
    measureOpenStreams(deployment, "streaming", 9'000, 9'000);
}

TEST_CASE("figures: memory of waiting requests", "[.figures]")
{
    TestDeployment deployment(TestDeploymentOptions{.slots = 1, .upstreamArguments = {"--step-ms", "1000"}});
    measureOpenStreams(deployment, "waiting", 9'000, 1);
}

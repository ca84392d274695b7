#include "bench/loadrun.h"

#include "common/address.h"
#include "common/eventloop.h"
#include "upstream/upstreamcall.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <memory>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

namespace cumindyke
{

namespace
{

constexpr std::size_t MaxInFlight = 2000;
constexpr Duration DrainTimeout = std::chrono::seconds(10);
constexpr Duration OpenLoopTick = std::chrono::milliseconds(1);
constexpr double MicrosecondsPerSecond = 1e6;

/// Sends the requests of one run in an open or a closed loop and counts their results.
class LoadRun
{
public:
    explicit LoadRun(const LoadOptions &options)
        : m_options(options)
        , m_tickTimer(m_loop, [this] { handleTick(); })
        , m_endTimer(m_loop, [this] { handleEndTimer(); })
        , m_cleanUpTimer(m_loop, [this] { m_endedCalls.clear(); })
    {
    }

    LoadResult run()
    {
        m_startedAt = EventLoop::now();
        m_endTimer.startOnce(m_options.duration);
        if (m_options.rate > 0) {
            m_tickTimer.startEvery(OpenLoopTick);
        } else {
            startUntilFull();
        }
        m_loop.run();
        m_result.unfinished = m_calls.size();
        m_calls.clear();
        return m_result;
    }

private:
    struct Call
    {
        TimePoint dueAt;
        std::unique_ptr<UpstreamCall> upstreamCall;
        int status = 0;
        bool hasFirstByte = false;
    };

    bool canStart() const
    {
        return !m_stopping && m_result.sent + m_result.skipped < m_options.requests;
    }

    void startUntilFull()
    {
        while (canStart() && m_calls.size() < m_options.concurrency) {
            startCall(EventLoop::now());
        }
        finishIfDone();
    }

    void handleTick()
    {
        const auto interval = Duration(static_cast<Duration::rep>(MicrosecondsPerSecond / m_options.rate));
        const TimePoint now = EventLoop::now();
        for (TimePoint dueAt = m_startedAt + interval * (m_result.sent + m_result.skipped); canStart() && dueAt <= now; dueAt += interval) {
            if (m_calls.size() >= MaxInFlight) {
                ++m_result.skipped;
                continue;
            }
            startCall(dueAt);
        }
        finishIfDone();
    }

    void startCall(TimePoint dueAt)
    {
        const std::uint64_t callNumber = ++m_result.sent;
        UpstreamRequest request{
            .id = RequestId{m_idPrefix + std::to_string(callNumber)},
            .address = m_options.address,
            .method = m_options.body.empty() ? "GET" : "POST",
            .target = m_options.path,
            .headers = {{"Content-Type", "application/json"}},
            .body = m_options.body,
        };
        if (!m_options.apiKey.empty()) {
            request.headers.emplace_back("Authorization", "Bearer " + m_options.apiKey);
        }
        auto call = std::make_unique<Call>();
        call->dueAt = dueAt;
        call->upstreamCall = std::make_unique<UpstreamCall>(m_loop, std::move(request), ProgressTimeouts{});
        Call *state = call.get();
        state->upstreamCall->head().connect([state](const AnswerHead &head) { state->status = head.status; });
        state->upstreamCall->data().connect([this, state](std::string_view) {
            if (!std::exchange(state->hasFirstByte, true)) {
                m_result.timeToFirstByte.record(EventLoop::now() - state->dueAt);
            }
        });
        state->upstreamCall->finished().connect([this, callNumber, state] {
            ++m_result.statuses[state->status];
            m_result.totalTime.record(EventLoop::now() - state->dueAt);
            removeCall(callNumber);
        });
        state->upstreamCall->failed().connect([this, callNumber](CallFailure) {
            ++m_result.failed;
            removeCall(callNumber);
        });
        m_calls.emplace(callNumber, std::move(call));
        state->upstreamCall->start();
    }

    void removeCall(std::uint64_t callNumber)
    {
        const auto found = m_calls.find(callNumber);
        // The call is still emitting its signal, so it is destroyed later from the event loop.
        m_endedCalls.push_back(std::move(found->second));
        m_calls.erase(found);
        m_cleanUpTimer.startOnce(Duration::zero());
        m_result.elapsed = EventLoop::now() - m_startedAt;
        if (m_options.rate <= 0) {
            startUntilFull();
        } else {
            finishIfDone();
        }
    }

    void handleEndTimer()
    {
        if (std::exchange(m_stopping, true)) {
            m_loop.stop();
            return;
        }
        m_endTimer.startOnce(DrainTimeout);
        finishIfDone();
    }

    void finishIfDone()
    {
        if (!canStart() && m_calls.empty()) {
            m_loop.stop();
        }
    }

    const LoadOptions &m_options;
    /// Differs from run to run, since upstreams may remember request ids.
    const std::string m_idPrefix = "load-" + std::to_string(std::random_device()()) + "-";
    EventLoop m_loop;
    Timer m_tickTimer;
    Timer m_endTimer;
    Timer m_cleanUpTimer;
    TimePoint m_startedAt;
    bool m_stopping = false;
    LoadResult m_result;
    std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
    std::vector<std::unique_ptr<Call>> m_endedCalls;
};

constexpr std::array<double, 5> Percentiles{0.5, 0.9, 0.99, 0.999, 1.0};

nlohmann::ordered_json percentilesJson(const Histogram &histogram)
{
    nlohmann::ordered_json values;
    for (const double ratio : Percentiles) {
        std::ostringstream name;
        name << "p" << ratio * 100;
        values[name.str()] = static_cast<double>(histogram.percentile(ratio).count()) / 1000;
    }
    return values;
}

}

Result<LoadOptions> parseLoadUrl(const std::string &url)
{
    constexpr std::string_view Scheme = "http://";
    const Error wrong{ErrorKind::BadRequest, "'" + url + "' is not the URL of a daemon: write http://HOST:PORT/PATH with an IPv4 address"};
    if (!url.starts_with(Scheme)) {
        return wrong;
    }
    const std::size_t slash = url.find('/', Scheme.size());
    const auto address = parseAddress(url.substr(Scheme.size(), slash == std::string::npos ? slash : slash - Scheme.size()));
    if (!ok(address)) {
        return wrong;
    }
    LoadOptions options;
    options.address = valueOf(address);
    if (slash != std::string::npos && url.size() > slash + 1) {
        options.path = url.substr(slash);
    }
    return options;
}

LoadResult runLoad(const LoadOptions &options)
{
    return LoadRun(options).run();
}

void printLoad(std::ostream &out, const LoadResult &result, bool json)
{
    const double seconds = static_cast<double>(result.elapsed.count()) / MicrosecondsPerSecond;
    const double rate = seconds > 0 ? static_cast<double>(result.totalTime.count()) / seconds : 0;
    if (json) {
        nlohmann::ordered_json statuses = nlohmann::ordered_json::object();
        for (const auto &[status, count] : result.statuses) {
            statuses[std::to_string(status)] = count;
        }
        out << nlohmann::ordered_json{{"sent", result.sent},
                                      {"skipped", result.skipped},
                                      {"statuses", statuses},
                                      {"lost", result.failed},
                                      {"unfinished", result.unfinished},
                                      {"seconds", seconds},
                                      {"requests_per_second", rate},
                                      {"first_byte_ms", percentilesJson(result.timeToFirstByte)},
                                      {"whole_ms", percentilesJson(result.totalTime)}}
                   .dump(2)
            << "\n";
        return;
    }
    out << "sent " << result.sent << ", skipped " << result.skipped << ", lost " << result.failed << ", unfinished " << result.unfinished << "; answers";
    for (const auto &[status, count] : result.statuses) {
        out << "  " << status << ": " << count;
    }
    out << std::fixed << std::setprecision(3) << "\n" << rate << " requests a second over " << seconds << " s\n";
    for (const auto &[name, histogram] : {std::pair("first byte, ms", &result.timeToFirstByte), std::pair("whole, ms", &result.totalTime)}) {
        out << std::left << std::setw(16) << name << std::right;
        for (const double ratio : Percentiles) {
            out << "  p" << std::setprecision(1) << ratio * 100 << " " << std::setprecision(3)
                << static_cast<double>(histogram->percentile(ratio).count()) / 1000;
        }
        out << "\n";
    }
}

}

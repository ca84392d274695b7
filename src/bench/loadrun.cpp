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

constexpr std::size_t MaxUnderWay = 2000;
constexpr Duration Grace = std::chrono::seconds(10);
constexpr Duration OpenLoopTick = std::chrono::milliseconds(1);
constexpr double MicrosecondsPerSecond = 1e6;

/// One run: starts calls as the loop's kind says, and counts how they end.
class LoadRun
{
public:
    explicit LoadRun(const LoadOptions &options)
        : m_options(options)
        , m_tick(m_loop, [this] { tick(); })
        , m_end(m_loop, [this] { stopStarting(); })
        , m_cleanUp(m_loop, [this] { m_ended.clear(); })
    {
    }

    LoadResult run()
    {
        m_started = EventLoop::now();
        m_end.startOnce(m_options.duration);
        if (m_options.rate > 0) {
            m_tick.startEvery(OpenLoopTick);
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
        TimePoint due;
        std::unique_ptr<UpstreamCall> call;
        int status = 0;
        bool answered = false;
    };

    bool mayStart() const
    {
        return !m_stopping && m_result.sent + m_result.skipped < m_options.requests;
    }

    void startUntilFull()
    {
        while (mayStart() && m_calls.size() < m_options.concurrency) {
            start(EventLoop::now());
        }
        finishIfDone();
    }

    void tick()
    {
        const auto gap = Duration(static_cast<Duration::rep>(MicrosecondsPerSecond / m_options.rate));
        const TimePoint now = EventLoop::now();
        for (TimePoint due = m_started + gap * (m_result.sent + m_result.skipped); mayStart() && due <= now; due += gap) {
            if (m_calls.size() >= MaxUnderWay) {
                ++m_result.skipped;
                continue;
            }
            start(due);
        }
        finishIfDone();
    }

    void start(TimePoint due)
    {
        const std::uint64_t number = ++m_result.sent;
        UpstreamRequest request{
            .id = RequestId{m_prefix + std::to_string(number)},
            .address = m_options.address,
            .method = m_options.body.empty() ? "GET" : "POST",
            .target = m_options.path,
            .headers = {{"Content-Type", "application/json"}},
            .body = m_options.body,
        };
        if (!m_options.key.empty()) {
            request.headers.emplace_back("Authorization", "Bearer " + m_options.key);
        }
        auto call = std::make_unique<Call>();
        call->due = due;
        call->call = std::make_unique<UpstreamCall>(m_loop, std::move(request), ProgressTimeouts{});
        Call *held = call.get();
        held->call->head().connect([held](const AnswerHead &head) { held->status = head.status; });
        held->call->data().connect([this, held](std::string_view) {
            if (!std::exchange(held->answered, true)) {
                m_result.firstByte.record(EventLoop::now() - held->due);
            }
        });
        held->call->finished().connect([this, number, held] {
            ++m_result.statuses[held->status];
            m_result.whole.record(EventLoop::now() - held->due);
            ended(number);
        });
        held->call->failed().connect([this, number](CallFailure) {
            ++m_result.lost;
            ended(number);
        });
        m_calls.emplace(number, std::move(call));
        held->call->start();
    }

    void ended(std::uint64_t number)
    {
        const auto found = m_calls.find(number);
        // Its signal is still under way: the loop destroys it.
        m_ended.push_back(std::move(found->second));
        m_calls.erase(found);
        m_cleanUp.startOnce(Duration::zero());
        m_result.took = EventLoop::now() - m_started;
        if (m_options.rate <= 0) {
            startUntilFull();
        } else {
            finishIfDone();
        }
    }

    void stopStarting()
    {
        if (std::exchange(m_stopping, true)) {
            m_loop.stop();
            return;
        }
        m_end.startOnce(Grace);
        finishIfDone();
    }

    void finishIfDone()
    {
        if (!mayStart() && m_calls.empty()) {
            m_loop.stop();
        }
    }

    const LoadOptions &m_options;
    /// Differs from run to run, for upstreams may remember ids.
    const std::string m_prefix = "load-" + std::to_string(std::random_device()()) + "-";
    EventLoop m_loop;
    Timer m_tick;
    Timer m_end;
    Timer m_cleanUp;
    TimePoint m_started;
    bool m_stopping = false;
    LoadResult m_result;
    std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
    std::vector<std::unique_ptr<Call>> m_ended;
};

constexpr std::array<double, 5> Percentiles{0.5, 0.9, 0.99, 0.999, 1.0};

nlohmann::ordered_json percentilesJson(const Histogram &histogram)
{
    nlohmann::ordered_json values;
    for (const double part : Percentiles) {
        std::ostringstream name;
        name << "p" << part * 100;
        values[name.str()] = static_cast<double>(histogram.percentile(part).count()) / 1000;
    }
    return values;
}

}

Result<LoadOptions> parseLoadUrl(const std::string &url)
{
    constexpr std::string_view Scheme = "http://";
    const Error wrong{ErrorKind::BadRequest, "'" + url + "' is no URL of a daemon: write http://HOST:PORT/PATH with an IPv4 address"};
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
    const double seconds = static_cast<double>(result.took.count()) / MicrosecondsPerSecond;
    const double rate = seconds > 0 ? static_cast<double>(result.whole.count()) / seconds : 0;
    if (json) {
        nlohmann::ordered_json statuses = nlohmann::ordered_json::object();
        for (const auto &[status, count] : result.statuses) {
            statuses[std::to_string(status)] = count;
        }
        out << nlohmann::ordered_json{{"sent", result.sent},
                                      {"skipped", result.skipped},
                                      {"statuses", statuses},
                                      {"lost", result.lost},
                                      {"unfinished", result.unfinished},
                                      {"seconds", seconds},
                                      {"requests_per_second", rate},
                                      {"first_byte_ms", percentilesJson(result.firstByte)},
                                      {"whole_ms", percentilesJson(result.whole)}}
                   .dump(2)
            << "\n";
        return;
    }
    out << "sent " << result.sent << ", skipped " << result.skipped << ", lost " << result.lost << ", unfinished " << result.unfinished << "; answers";
    for (const auto &[status, count] : result.statuses) {
        out << "  " << status << ": " << count;
    }
    out << std::fixed << std::setprecision(3) << "\n" << rate << " requests a second over " << seconds << " s\n";
    for (const auto &[name, histogram] : {std::pair("first byte, ms", &result.firstByte), std::pair("whole, ms", &result.whole)}) {
        out << std::left << std::setw(16) << name << std::right;
        for (const double part : Percentiles) {
            out << "  p" << std::setprecision(1) << part * 100 << " " << std::setprecision(3)
                << static_cast<double>(histogram->percentile(part).count()) / 1000;
        }
        out << "\n";
    }
}

}

#pragma once

#include "common/eventloop.h"
#include "domain/declarations.h"
#include "upstream/upstreamcall.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cumindyke
{

/// An engine's answer to GET /load. It lags behind the engine's state by an unknown time.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t pendingTokens = 0;
    /// Answer tokens since the engine started; 0 when the engine does not report them.
    std::uint64_t generatedTokens = 0;
    /// Whether the engine takes no new work since it will stop.
    bool draining = false;
    /// The version that the engine runs; empty when the engine does not report it.
    VersionName version;

    bool operator==(const LoadReport &) const = default;
};

/// One event in the answer to GET /cache/events.
struct PrefixEvent
{
    std::uint64_t sequence = 0;
    std::uint64_t prefix = 0;
    /// Whether the prefix was stored in the cache or evicted from it.
    bool stored = false;

    bool operator==(const PrefixEvent &) const = default;
};

/// Parses {"running":…,"waiting":…,"pending_tokens":…,"draining":…,"version":…}. Error: UpstreamFailed.
Result<LoadReport> parseLoadReport(std::string_view json);
/// Parses {"events":[{"sequence":…,"prefix":…,"stored":…}]}. Error: UpstreamFailed.
Result<std::vector<PrefixEvent>> parsePrefixEvents(std::string_view json);

/// Polls the engines of the cells that this VM schedules for their load and cache events, each at its own offset in the polling interval.
///
/// A cell has at most about 50 upstreams and a poll makes two short calls, so the cost does not depend on the size of the fleet.
class LoadPoller
{
public:
    LoadPoller(EventLoop &loop, Duration interval);

    /// Replaces the upstreams to be polled.
    void setUpstreams(const std::vector<Upstream> &upstreams);

    /// Emitted for each load report.
    sigc::signal<void, const UpstreamName &, const LoadReport &> &loadReceived()
    {
        return m_loadReceived;
    }
    /// Emitted for the cache events since the previous poll; a gap in the sequence numbers means that events were lost.
    sigc::signal<void, const UpstreamName &, const std::vector<PrefixEvent> &> &prefixEventsReceived()
    {
        return m_prefixEventsReceived;
    }
    /// Emitted for each complete answer, also for one that is not a report, since an engine without load reports is reachable too.
    sigc::signal<void, const UpstreamName &> &reachable()
    {
        return m_reachable;
    }
    /// Emitted for each poll without a connection or a complete answer in time.
    sigc::signal<void, const UpstreamName &> &unreachable()
    {
        return m_unreachable;
    }

private:
    /// Polls one upstream: its load, then its cache events, then again after the interval.
    class UpstreamPoller;

    EventLoop &m_loop;
    const Duration m_interval;
    std::map<UpstreamName, std::shared_ptr<UpstreamPoller>> m_pollers;
    sigc::signal<void, const UpstreamName &, const LoadReport &> m_loadReceived;
    sigc::signal<void, const UpstreamName &, const std::vector<PrefixEvent> &> m_prefixEventsReceived;
    sigc::signal<void, const UpstreamName &> m_reachable;
    sigc::signal<void, const UpstreamName &> m_unreachable;
};

}

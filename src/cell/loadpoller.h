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

/// What an engine said of itself at GET /load. It lags behind the engine by an unknown time.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t pendingTokens = 0;
    /// Answer tokens since the engine started; 0 when it does not say.
    std::uint64_t generatedTokens = 0;
    /// The engine is leaving: it takes no new work.
    bool draining = false;
    /// The version it runs, or empty when it does not say.
    VersionName version;

    bool operator==(const LoadReport &) const = default;
};

/// One line of GET /cache/events.
struct PrefixEvent
{
    std::uint64_t sequence = 0;
    std::uint64_t prefix = 0;
    bool stored = false;

    bool operator==(const PrefixEvent &) const = default;
};

/// Reads {"running":…,"waiting":…,"pending_tokens":…,"draining":…,"version":…}. Error: UpstreamFailed.
Result<LoadReport> parseLoadReport(std::string_view json);
/// Reads {"events":[{"sequence":…,"prefix":…,"stored":…}]}. Error: UpstreamFailed.
Result<std::vector<PrefixEvent>> parsePrefixEvents(std::string_view json);

/// Asks the engines of the cells that this VM schedules for their load and cache events, each at its own moment of the interval.
///
/// A cell has at most about 50 upstreams and an ask costs one short call, so the cost stays with the cell whatever the fleet's size.
class LoadPoller
{
public:
    LoadPoller(EventLoop &loop, Duration interval);

    /// The upstreams to ask from now on.
    void setUpstreams(const std::vector<Upstream> &upstreams);

    sigc::signal<void, const UpstreamName &, const LoadReport &> &loadCame()
    {
        return m_loadCame;
    }
    /// Events after those of the call before; a gap in the sequence means that some were lost.
    sigc::signal<void, const UpstreamName &, const std::vector<PrefixEvent> &> &prefixEventsCame()
    {
        return m_prefixEventsCame;
    }
    /// It gave a whole answer, also one that is no report: an engine without reports is reachable all the same.
    sigc::signal<void, const UpstreamName &> &reachable()
    {
        return m_reachable;
    }
    /// No connection, or no whole answer in time; also emitted while it lasts, at each ask.
    sigc::signal<void, const UpstreamName &> &unreachable()
    {
        return m_unreachable;
    }

private:
    /// The asks of one upstream: load, then cache events, then a pause.
    class Asker;

    EventLoop &m_loop;
    const Duration m_interval;
    std::map<UpstreamName, std::shared_ptr<Asker>> m_askers;
    sigc::signal<void, const UpstreamName &, const LoadReport &> m_loadCame;
    sigc::signal<void, const UpstreamName &, const std::vector<PrefixEvent> &> m_prefixEventsCame;
    sigc::signal<void, const UpstreamName &> m_reachable;
    sigc::signal<void, const UpstreamName &> m_unreachable;
};

}

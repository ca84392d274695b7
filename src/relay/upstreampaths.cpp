#include "relay/upstreampaths.h"

#include "common/log.h"
#include "upstream/upstreamcall.h"

#include <utility>

namespace cumindyke
{

namespace
{

/// Interval of the attempts to reach upstreams directly while the path is lost; each attempt ends before the next.
constexpr Duration ProbeInterval = LivenessCheck::MaxTime + std::chrono::milliseconds(50);
/// The request waits for the result before it may be sent again.
constexpr int MaxRelaysAsked = 3;
/// Interval at which upstreams without a verdict are tried again; longer than a check takes.
constexpr Duration RecheckInterval = UpstreamPaths::RelayConnectTimeout + std::chrono::milliseconds(50);
/// Bounds the checks while all paths are lost. Each lost request adds one.
constexpr std::size_t MaxUndecided = 64;

}

Result<std::unique_ptr<UpstreamPaths>> UpstreamPaths::open(EventLoop &loop, UpstreamPathsOptions options, Metrics &metrics)
{
    std::unique_ptr<UpstreamPaths> paths(new UpstreamPaths(loop, std::move(options), metrics));
    if (auto error = paths->openRelay(metrics)) {
        return *error;
    }
    return paths;
}

UpstreamPaths::UpstreamPaths(EventLoop &loop, UpstreamPathsOptions options, Metrics &metrics)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_losses(metrics.counter("cumindyke_lost_paths_total", "Times this VM lost its path to all upstreams"))
    , m_relays(m_options.vm, m_options.localDataCentre, m_options.regions)
    , m_probeTimer(loop, [this] { probe(); })
    , m_recheckTimer(loop, [this] { recheckUndecided(); })
{
}

std::optional<Error> UpstreamPaths::openRelay(Metrics &metrics)
{
    if (!m_options.relayAddress) {
        return {};
    }
    auto relay = RelayServer::listen(
        m_loop, RelayServerOptions{.address = *m_options.relayAddress, .connectTimeout = ConnectTimeout, .mapAddress = m_options.mapAddress}, metrics);
    if (!ok(relay)) {
        return errorOf(relay);
    }
    m_relayServer = std::move(valueOf(relay));
    m_relayServer->connected().connect([this](const Address &upstream) { recordConnected(upstream); });
    m_relayServer->connectFailed().connect([this](const Address &upstream, TimePoint startedAt) { recordConnectFailure(upstream, startedAt); });
    return {};
}

void UpstreamPaths::setDraining()
{
    m_isDraining = true;
    updateAvailability();
}

void UpstreamPaths::updateAvailability()
{
    if (!m_relayServer) {
        return;
    }
    if (m_isDraining) {
        m_relayServer->setPath(RelayPath::None);
    } else if (m_isLost) {
        m_relayServer->setPath(m_monitor.isPartlyLost(EventLoop::now()) ? RelayPath::Partial : RelayPath::None);
    } else {
        m_relayServer->setPath(RelayPath::Whole);
    }
}

Address UpstreamPaths::connectAddress(const Address &upstream) const
{
    return m_options.mapAddress ? m_options.mapAddress(upstream) : upstream;
}

bool UpstreamPaths::isLostTo(const Address &upstream) const
{
    return m_monitor.isLostTo(upstream, EventLoop::now());
}

bool UpstreamPaths::mayUseRelay(const Address &upstream, const std::optional<std::set<RegionName>> &homeRegions) const
{
    const TimePoint now = EventLoop::now();
    return m_relayServer && m_monitor.isLostTo(upstream, now) && m_relays.hasUsable(homeRegions, now);
}

std::optional<VmName> UpstreamPaths::chooseRelay(const Address &upstream, const std::optional<std::set<RegionName>> &homeRegions)
{
    return mayUseRelay(upstream, homeRegions) ? m_relays.next(homeRegions, EventLoop::now()) : std::nullopt;
}

void UpstreamPaths::recordConnected(const Address &upstream)
{
    m_monitor.recordConnected(upstream, EventLoop::now());
    update(upstream);
}

void UpstreamPaths::recordConnectFailure(const Address &upstream, TimePoint startedAt)
{
    const TimePoint now = EventLoop::now();
    const bool hasTimedOut = now - startedAt >= ConnectTimeout;
    m_monitor.recordFailure(upstream, hasTimedOut ? ConnectFailure::TimedOut : ConnectFailure::Refused, startedAt, now);
    update(upstream);
}

void UpstreamPaths::update(const Address &lastTried)
{
    const bool isLost = m_monitor.isLost(EventLoop::now());
    const bool wasLost = std::exchange(m_isLost, isLost);
    updateAvailability();
    if (wasLost == isLost) {
        return;
    }
    m_probeTimer.startOnce(Duration::zero());
    const std::string upstream = lastTried.host.empty() ? "" : toString(lastTried);
    if (!isLost) {
        logChange("paths", "path-regained", {{"upstream", upstream}});
        return;
    }
    logWarning("paths", "path-lost", {{"upstream", upstream}});
    m_losses.add();
    m_lost.emit();
}

void UpstreamPaths::confirmEnded(const Address &upstream, std::function<void(EndVerdict)> then)
{
    askRelay(upstream, MaxRelaysAsked, false, [this, upstream, then = std::move(then)](EndVerdict verdict) {
        if (verdict == EndVerdict::Unknown && m_undecided.size() < MaxUndecided) {
            m_undecided.push_back(Undecided{.upstream = upstream, .until = EventLoop::now() + MaxUndecidedTime, .then = then});
            m_recheckTimer.startOnceIfStopped(RecheckInterval);
        }
        then(verdict);
    });
}

void UpstreamPaths::askRelay(const Address &upstream, int remaining, bool othersAreCut, std::function<void(EndVerdict)> then)
{
    const std::optional<VmName> relay = m_relayServer && m_isLost && remaining > 0 ? m_relays.next({}, EventLoop::now()) : std::nullopt;
    if (!relay) {
        then(othersAreCut ? EndVerdict::Unknown : EndVerdict::Ended);
        return;
    }
    const std::uint64_t key = ++m_lastCheck;
    const auto onResult = [this, key, relay, upstream, remaining, othersAreCut, then = std::move(then)](int status) {
        m_loop.releaseLater(m_checks[key]);
        m_checks.erase(key);
        if (status == StatusConnected || status == StatusUpstreamUnreachable) {
            then(status == StatusUpstreamUnreachable ? EndVerdict::Ended : EndVerdict::Runs);
            return;
        }
        recordRelayFailure(*relay);
        askRelay(upstream, remaining - 1, othersAreCut || status == StatusNoRelay, then);
    };
    m_checks[key] = std::make_shared<RelayCheck>(m_loop, relayAddress(*relay), upstream, RelayConnectTimeout, onResult);
}

/// A report that is dropped here is lost for good, so the upstreams without a verdict are tried until a path is back.
void UpstreamPaths::recheckUndecided()
{
    const TimePoint now = EventLoop::now();
    std::vector<Undecided> undecided;
    undecided.swap(m_undecided);
    for (const Undecided &entry : undecided) {
        if (now >= entry.until) {
            continue;
        }
        const auto onVerdict = [this, entry](EndVerdict verdict) {
            if (verdict == EndVerdict::Unknown) {
                m_undecided.push_back(entry);
                m_recheckTimer.startOnceIfStopped(RecheckInterval);
            } else {
                entry.then(verdict);
            }
        };
        if (m_isLost) {
            // The VMs that were asked are left alone for a while, so their absence proves nothing.
            askRelay(entry.upstream, MaxRelaysAsked, true, onVerdict);
        } else {
            connectAgain(entry.upstream, onVerdict);
        }
    }
}

/// Connects to the upstream directly, since this VM has its path back.
void UpstreamPaths::connectAgain(const Address &upstream, std::function<void(EndVerdict)> then)
{
    const std::uint64_t key = ++m_lastCheck;
    const auto onResult = [this, key, then = std::move(then)](Liveness liveness) {
        m_loop.releaseLater(m_rechecks[key]);
        m_rechecks.erase(key);
        if (liveness == Liveness::Unknown) {
            then(EndVerdict::Unknown);
        } else {
            then(liveness == Liveness::Refuses ? EndVerdict::Ended : EndVerdict::Runs);
        }
    };
    m_rechecks[key] = std::make_shared<LivenessCheck>(m_loop, connectAddress(upstream), onResult);
}

void UpstreamPaths::probe()
{
    m_probes.clear();
    // Outcomes expire, also on a VM that gets no requests.
    update({});
    if (!m_isLost) {
        return;
    }
    const TimePoint now = EventLoop::now();
    for (const Address &target : m_monitor.probeTargets(now)) {
        const auto onResult = [this, target, now](Liveness liveness) {
            if (liveness == Liveness::Answers) {
                recordConnected(target);
            } else {
                recordConnectFailure(target, now);
            }
        };
        m_probes.push_back(std::make_shared<LivenessCheck>(m_loop, connectAddress(target), onResult));
    }
    m_probeTimer.startOnce(ProbeInterval);
}

}

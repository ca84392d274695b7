#include "proxy/upstreamboard.h"

#include <algorithm>
#include <limits>

namespace cumindyke
{

namespace
{

/// How much longer an answer may take before a request leaves its data centre: traffic between data centres has a price.
constexpr double FartherFactor = 1.4;
/// Weight of the newest observation: about the last ten count.
constexpr double PaceWeight = 0.1;
constexpr Duration FirstRest = std::chrono::milliseconds(200);
constexpr Duration LongestRest = std::chrono::seconds(4);
/// A single failure may be chance; from this many in a row on an upstream rests.
constexpr int FailuresBeforeRest = 2;
constexpr Duration RestAfterRefusal = std::chrono::milliseconds(100);
/// The platform's list shows the new owner of an address within this long.
constexpr Duration RestAfterMisdirection = std::chrono::seconds(3);

}

void UpstreamBoard::takeList(const std::vector<UpstreamInstance> &instances)
{
    std::map<InstanceName, Upstream> next;
    for (const UpstreamInstance &instance : instances) {
        const auto known = m_upstreams.find(instance.name);
        const bool same = known != m_upstreams.end() && known->second.instance.born == instance.born && known->second.instance.address == instance.address;
        Upstream upstream = same ? known->second : Upstream{};
        // Requests in flight end by name, whichever process they were sent to.
        upstream.own = known == m_upstreams.end() ? 0 : known->second.own;
        upstream.instance = instance;
        next.insert_or_assign(instance.name, std::move(upstream));
    }
    m_upstreams.swap(next);
}

void UpstreamBoard::takeFleet(const v1::FleetTally &fleet)
{
    for (auto &[name, upstream] : m_upstreams) {
        upstream.others = 0;
    }
    for (const v1::UpstreamLoad &load : fleet.loads()) {
        if (Upstream *upstream = find(InstanceName{load.upstream()})) {
            upstream->others = load.in_flight() - std::min(load.in_flight(), upstream->tallied);
        }
    }
}

bool UpstreamBoard::allowed(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const
{
    if (upstream.instance.service != query.service || upstream.instance.draining || now < upstream.restsUntil || query.tried.contains(upstream.instance.name)) {
        return false;
    }
    if (query.versions.target.value.empty()) {
        return true;
    }
    return (upstream.instance.version == query.versions.target) == query.versions.toTarget;
}

double UpstreamBoard::fastestPace(const ServiceName &service) const
{
    double fastest = std::numeric_limits<double>::max();
    for (const auto &[name, upstream] : m_upstreams) {
        if (upstream.instance.service == service && upstream.paceMs > 0) {
            fastest = std::min(fastest, upstream.paceMs);
        }
    }
    return fastest == std::numeric_limits<double>::max() ? 1 : fastest;
}

const UpstreamInstance *UpstreamBoard::choose(const PlacementQuery &query, TimePoint now) const
{
    const double fastest = fastestPace(query.service);
    const UpstreamInstance *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (const auto &[name, upstream] : m_upstreams) {
        const std::uint32_t inFlight = upstream.own + upstream.others;
        if (!allowed(upstream, query, now) || inFlight >= upstream.instance.slots) {
            continue;
        }
        // One that nothing is known of counts as the fastest, so that it is tried.
        const double pace = upstream.paceMs > 0 ? upstream.paceMs : fastest;
        const double load = static_cast<double>(inFlight) / upstream.instance.slots;
        const double score = pace * (1 + load) * (upstream.instance.dataCentre == m_here ? 1 : FartherFactor);
        if (score < bestScore) {
            bestScore = score;
            best = &upstream.instance;
        }
    }
    return best;
}

bool UpstreamBoard::hasUsable(const PlacementQuery &query, TimePoint now) const
{
    return std::ranges::any_of(m_upstreams, [&](const auto &entry) { return allowed(entry.second, query, now); });
}

UpstreamBoard::Upstream *UpstreamBoard::find(const InstanceName &name)
{
    const auto found = m_upstreams.find(name);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

void UpstreamBoard::sent(const InstanceName &name)
{
    if (Upstream *upstream = find(name)) {
        ++upstream->own;
    }
}

void UpstreamBoard::ended(const InstanceName &name)
{
    Upstream *upstream = find(name);
    if (upstream && upstream->own > 0) {
        --upstream->own;
    }
}

void UpstreamBoard::observedPace(const InstanceName &name, double milliseconds)
{
    if (Upstream *upstream = find(name)) {
        upstream->paceMs = upstream->paceMs == 0 ? milliseconds : (1 - PaceWeight) * upstream->paceMs + PaceWeight * milliseconds;
    }
}

void UpstreamBoard::succeeded(const InstanceName &name)
{
    if (Upstream *upstream = find(name)) {
        upstream->failuresInARow = 0;
    }
}

void UpstreamBoard::failed(const InstanceName &name, TimePoint now)
{
    Upstream *upstream = find(name);
    if (!upstream) {
        return;
    }
    ++upstream->failuresInARow;
    if (upstream->failuresInARow >= FailuresBeforeRest) {
        const int doublings = std::min(upstream->failuresInARow - FailuresBeforeRest, 6);
        upstream->restsUntil = now + std::min<Duration>(FirstRest * (1 << doublings), LongestRest);
    }
}

void UpstreamBoard::refused(const InstanceName &name, TimePoint now)
{
    if (Upstream *upstream = find(name)) {
        upstream->restsUntil = std::max(upstream->restsUntil, now + RestAfterRefusal);
    }
}

void UpstreamBoard::misdirected(const InstanceName &name, TimePoint now)
{
    if (Upstream *upstream = find(name)) {
        upstream->restsUntil = std::max(upstream->restsUntil, now + RestAfterMisdirection);
    }
}

void UpstreamBoard::fillTally(v1::EntryTally &tally)
{
    for (auto &[name, upstream] : m_upstreams) {
        upstream.tallied = upstream.own;
        if (upstream.own == 0) {
            continue;
        }
        v1::UpstreamLoad &load = *tally.add_loads();
        load.set_upstream(name.value);
        load.set_in_flight(upstream.own);
    }
}

}

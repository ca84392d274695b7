#include "cell/cellscheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cumindyke
{

namespace
{

/// An entry VM with waiting requests or slots reports several times a second. A VM that has not reported for this long has crashed or is cut
/// off. Its connections close, upstreams then cancel its requests, and so its slots are free again.
constexpr Duration VmTimeout = std::chrono::seconds(2);
constexpr std::size_t MaxPrefixes = 100'000;
/// Weight of a new measurement in the exponential average of an upstream's speed.
constexpr double SpeedAverageWeight = 0.3;
/// Minimum number of tokens between two reports from which a speed is measured.
constexpr std::uint64_t MinSpeedSampleTokens = 20;

}

CellScheduler::CellScheduler(CellOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_started(now)
    , m_prefixes(MaxPrefixes)
{
}

void CellScheduler::setUpstreams(const std::vector<CellUpstream> &upstreams, TimePoint now)
{
    std::vector<UpstreamState> states;
    std::vector<LoadHistory> histories;
    std::vector<std::uint32_t> formerIndex;
    for (const CellUpstream &upstream : upstreams) {
        const auto known = upstreamIndex(upstream.name);
        UpstreamState state = known ? m_upstreamStates[*known] : UpstreamState{.window = static_cast<double>(upstream.slots), .backlogAt = now};
        state.version = versionIndex(upstream.version);
        state.slots = upstream.slots;
        state.window = std::min<double>(state.window, upstream.slots);
        states.push_back(state);
        histories.push_back(known ? m_loadHistories[*known] : LoadHistory{});
    }
    // Unacknowledged grants are renumbered, and the requests in flight are counted again under the new indexes.
    for (Vm &vm : m_vms) {
        std::deque<UnacknowledgedGrant> remaining;
        for (UnacknowledgedGrant &unacknowledged : vm.unacknowledged) {
            const auto found = std::ranges::find(upstreams, m_declaredUpstreams[unacknowledged.upstream].name, &CellUpstream::name);
            if (found != upstreams.end()) {
                unacknowledged.upstream = static_cast<std::uint32_t>(found - upstreams.begin());
                remaining.push_back(unacknowledged);
            }
        }
        vm.unacknowledged.swap(remaining);
    }
    m_declaredUpstreams = upstreams;
    m_upstreamStates.swap(states);
    m_loadHistories.swap(histories);
    m_upstreamIndex.clear();
    for (std::uint32_t i = 0; i < m_declaredUpstreams.size(); ++i) {
        m_upstreamIndex.emplace(m_declaredUpstreams[i].name, i);
        m_upstreamStates[i].inFlight = 0;
        m_upstreamStates[i].longInFlight = 0;
    }
    // The upstreams' indexes have changed, so the prefix index is no longer valid and is built up again.
    m_prefixes = PrefixIndex(MaxPrefixes);
    for (const Vm &vm : m_vms) {
        addInFlight(vm.reportedInFlight, 1);
        for (const UnacknowledgedGrant &unacknowledged : vm.unacknowledged) {
            ++m_upstreamStates[unacknowledged.upstream].inFlight;
            m_upstreamStates[unacknowledged.upstream].longInFlight += unacknowledged.isLong ? 1 : 0;
        }
    }
}

void CellScheduler::setWeights(const std::map<OrganisationName, std::uint32_t> &weights)
{
    m_weights = weights;
    for (std::size_t i = 0; i < m_organisations.size(); ++i) {
        const auto found = m_weights.find(m_organisations[i]);
        m_shares[i].weight = found == m_weights.end() ? 1 : std::max(found->second, 1U);
    }
}

void CellScheduler::setEntryVms(std::set<VmName> vms)
{
    m_options.entryVms = std::move(vms);
}

void CellScheduler::setUsable(const UpstreamName &upstream, bool usable)
{
    const auto index = upstreamIndex(upstream);
    if (!index || m_upstreamStates[*index].usable == usable) {
        return;
    }
    m_upstreamStates[*index].usable = usable;
    if (!usable) {
        m_prefixes.removeUpstream(*index);
    }
}

const UpstreamState *CellScheduler::upstream(const UpstreamName &name) const
{
    const auto index = upstreamIndex(name);
    return index ? &m_upstreamStates[*index] : nullptr;
}

std::optional<std::uint32_t> CellScheduler::upstreamIndex(const UpstreamName &name) const
{
    const auto found = m_upstreamIndex.find(name);
    return found == m_upstreamIndex.end() ? std::nullopt : std::optional(found->second);
}

std::uint32_t CellScheduler::versionIndex(const VersionName &version)
{
    const auto found = std::ranges::find(m_versions, version);
    if (found != m_versions.end()) {
        return static_cast<std::uint32_t>(found - m_versions.begin());
    }
    m_versions.push_back(version);
    return static_cast<std::uint32_t>(m_versions.size() - 1);
}

std::uint32_t CellScheduler::organisationIndex(const OrganisationName &organisation)
{
    const auto found = std::ranges::find(m_organisations, organisation);
    if (found != m_organisations.end()) {
        return static_cast<std::uint32_t>(found - m_organisations.begin());
    }
    m_organisations.push_back(organisation);
    const auto weight = m_weights.find(organisation);
    m_shares.push_back(OrganisationShare{.servedWork = 0, .weight = weight == m_weights.end() ? 1.0 : std::max(weight->second, 1U), .active = false});
    return static_cast<std::uint32_t>(m_organisations.size() - 1);
}

CellScheduler::Vm &CellScheduler::touchVm(const VmName &name, TimePoint now)
{
    const auto [found, added] = m_vmIndex.try_emplace(name, m_vms.size());
    if (added) {
        m_vms.push_back(Vm{.name = name});
    }
    Vm &vm = m_vms[found->second];
    vm.lastReceivedAt = now;
    return vm;
}

void CellScheduler::handleDemand(const VmName &name, const Demand &demand, TimePoint now)
{
    Vm &vm = touchVm(name, now);
    if (demand.sequence <= vm.demandSequence) {
        return;
    }
    vm.demandSequence = demand.sequence;
    vm.lowestWaiting = demand.lowestWaiting;
    vm.mustShed = demand.mustShed;
    vm.replyDue = true;
    expireUnacknowledged(now);
    vm.lines.clear();
    for (const DemandLine &line : demand.lines) {
        vm.lines.push_back(VmDemandLine{
            .vm = m_vmIndex.at(name),
            .tier = line.tier,
            .version = versionIndex(line.version),
            .organisation = organisationIndex(line.organisation),
            .prompt = line.promptTokens,
            .answer = line.answerTokens,
            .prefix = line.prefix,
            .count = line.count,
            .deadline = now + line.untilDeadline,
            .key = line.key,
        });
    }
    subtractUnacknowledged(vm);
}

/// Subtracts unacknowledged grants from a VM's demand, which may have been sent before these grants arrived and so demand them again.
void CellScheduler::subtractUnacknowledged(Vm &vm)
{
    for (const UnacknowledgedGrant &unacknowledged : vm.unacknowledged) {
        const auto line = std::ranges::find_if(
            vm.lines, [&unacknowledged](const VmDemandLine &candidate) { return candidate.key == unacknowledged.key && candidate.count > 0; });
        if (line != vm.lines.end()) {
            --line->count;
        }
    }
}

void CellScheduler::handleReport(const VmName &name, const GrantReport &report, TimePoint now)
{
    Vm &vm = touchVm(name, now);
    if (report.sequence <= vm.reportSequence) {
        return;
    }
    vm.reportSequence = report.sequence;
    vm.hasReported = true;
    addInFlight(vm.reportedInFlight, -1);
    vm.reportedInFlight = report.inFlight;
    addInFlight(vm.reportedInFlight, 1);
    // Grant numbers are comparable within an epoch only.
    const std::uint64_t acknowledged = report.epoch == m_options.epoch ? report.grantsSeen : 0;
    while (!vm.unacknowledged.empty() && vm.unacknowledged.front().number <= acknowledged) {
        releaseUnacknowledged(vm.unacknowledged.front());
        vm.unacknowledged.pop_front();
    }
    for (const UpstreamName &upstream : report.unreachable) {
        setUsable(upstream, false);
    }
}

void CellScheduler::addInFlight(const std::vector<InFlight> &inFlight, int sign)
{
    for (const InFlight &entry : inFlight) {
        const auto index = upstreamIndex(entry.upstream);
        if (!index) {
            continue;
        }
        UpstreamState &upstream = m_upstreamStates[*index];
        upstream.inFlight += static_cast<std::uint32_t>(sign) * entry.requests;
        upstream.longInFlight += static_cast<std::uint32_t>(sign) * entry.longRequests;
    }
}

void CellScheduler::releaseUnacknowledged(const UnacknowledgedGrant &unacknowledged)
{
    --m_upstreamStates[unacknowledged.upstream].inFlight;
    m_upstreamStates[unacknowledged.upstream].longInFlight -= unacknowledged.isLong ? 1 : 0;
}

void CellScheduler::handleLoad(const UpstreamName &name, const UpstreamLoad &load, TimePoint /*now*/)
{
    const auto index = upstreamIndex(name);
    if (!index) {
        return;
    }
    m_upstreamStates[*index].usable = true;
    if (m_options.adaptWindows) {
        adaptWindow(m_upstreamStates[*index], m_loadHistories[*index].latest, load);
    }
    updateSpeed(*index, load);
}

/// Adapts an upstream's window to its engine's batch. An engine with waiting requests in two consecutive reports has a full batch, so its
/// window shrinks to the requests it runs. A single report is no evidence, since every request waits until the current engine step ends. The
/// window of an engine that has no waiting requests while its window is full grows by one.
void CellScheduler::adaptWindow(UpstreamState &upstream, const UpstreamLoad &previous, const UpstreamLoad &load) const
{
    if (load.waiting > 0 && previous.waiting > 0 && load.running > 0) {
        upstream.window = std::min<double>(upstream.window, std::max(load.running, previous.running));
    } else if (load.waiting == 0 && load.running + 1 >= static_cast<std::uint32_t>(upstream.window)) {
        upstream.window = std::min<double>(upstream.window + 1, upstream.slots);
    }
}

/// Updates an upstream's time between tokens: the running sequences' total time between two reports, divided by the generated tokens.
void CellScheduler::updateSpeed(std::uint32_t index, const UpstreamLoad &load)
{
    LoadHistory &history = m_loadHistories[index];
    const UpstreamLoad previous = history.latest;
    if (history.known && load.at <= previous.at) {
        return;
    }
    history.latest = load;
    if (!std::exchange(history.known, true) || load.generatedTokens < previous.generatedTokens + MinSpeedSampleTokens) {
        return;
    }
    const double sequences = (previous.running + load.running) / 2.0;
    const auto tokens = static_cast<double>(load.generatedTokens - previous.generatedTokens);
    const double measured = static_cast<double>((load.at - previous.at).count()) * sequences / tokens;
    double &tokenTime = m_upstreamStates[index].tokenMicroseconds;
    tokenTime = std::exchange(m_upstreamStates[index].speedMeasured, true) ? tokenTime + SpeedAverageWeight * (measured - tokenTime) : measured;
}

void CellScheduler::handleCacheEvent(const UpstreamName &upstream, std::uint64_t prefix, bool stored)
{
    const auto index = upstreamIndex(upstream);
    if (!index || !m_options.useCacheEvents) {
        return;
    }
    stored ? m_prefixes.recordStored(prefix, *index) : m_prefixes.recordEvicted(prefix, *index);
}

bool CellScheduler::waitsForReports(TimePoint now) const
{
    if (now >= m_started + m_options.takeoverTimeout) {
        return false;
    }
    return std::ranges::any_of(m_options.entryVms, [this](const VmName &name) {
        const auto found = m_vmIndex.find(name);
        return found == m_vmIndex.end() || !m_vms[found->second].hasReported;
    });
}

void CellScheduler::expireVms(TimePoint now)
{
    for (Vm &vm : m_vms) {
        if (now - vm.lastReceivedAt < VmTimeout) {
            continue;
        }
        addInFlight(vm.reportedInFlight, -1);
        vm.reportedInFlight.clear();
        vm.lines.clear();
        vm.lowestWaiting.reset();
        vm.mustShed.reset();
    }
}

void CellScheduler::expireUnacknowledged(TimePoint now)
{
    for (Vm &vm : m_vms) {
        while (!vm.unacknowledged.empty() && vm.unacknowledged.front().expiry <= now) {
            releaseUnacknowledged(vm.unacknowledged.front());
            vm.unacknowledged.pop_front();
        }
    }
}

}

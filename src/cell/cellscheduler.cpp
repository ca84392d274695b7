#include "cell/cellscheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cumindyke
{

namespace
{

/// An entry VM that holds or wants something reports several times a second. One that is silent for longer has died or is cut off:
/// upstreams cancel what a dead VM ran, for its connections close, so its slots are free again.
constexpr Duration VmSilence = std::chrono::seconds(2);
constexpr std::size_t MaxPrefixes = 100'000;
/// Weight of a new measurement of speed.
constexpr double SpeedGain = 0.3;
/// Fewer tokens between two reports say nothing about speed.
constexpr std::uint64_t LeastTokens = 20;

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
    std::vector<LearnedSpeed> speeds;
    std::vector<std::uint32_t> formerIndex;
    for (const CellUpstream &upstream : upstreams) {
        const auto known = upstreamIndex(upstream.name);
        UpstreamState state = known ? m_upstreams[*known] : UpstreamState{.window = static_cast<double>(upstream.slots), .backlogAt = now};
        state.version = versionIndex(upstream.version);
        state.slots = upstream.slots;
        state.window = std::min<double>(state.window, upstream.slots);
        states.push_back(state);
        speeds.push_back(known ? m_speeds[*known] : LearnedSpeed{});
    }
    // What VMs hold is counted anew under the new numbers; the next grants and reports build on it.
    for (Vm &vm : m_vms) {
        std::deque<Unseen> kept;
        for (Unseen &unseen : vm.unseen) {
            const auto still = std::ranges::find(upstreams, m_names[unseen.upstream].name, &CellUpstream::name);
            if (still != upstreams.end()) {
                unseen.upstream = static_cast<std::uint32_t>(still - upstreams.begin());
                kept.push_back(unseen);
            }
        }
        vm.unseen.swap(kept);
    }
    m_names = upstreams;
    m_upstreams.swap(states);
    m_speeds.swap(speeds);
    m_upstreamIndex.clear();
    for (std::uint32_t i = 0; i < m_names.size(); ++i) {
        m_upstreamIndex.emplace(m_names[i].name, i);
        m_upstreams[i].inFlight = 0;
        m_upstreams[i].longInFlight = 0;
    }
    // Numbers changed, so the index would point at others: it is learned anew.
    m_prefixes = PrefixIndex(MaxPrefixes);
    for (const Vm &vm : m_vms) {
        countHeld(vm.held, 1);
        for (const Unseen &unseen : vm.unseen) {
            ++m_upstreams[unseen.upstream].inFlight;
            m_upstreams[unseen.upstream].longInFlight += unseen.isLong ? 1 : 0;
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
    if (!index || m_upstreams[*index].usable == usable) {
        return;
    }
    m_upstreams[*index].usable = usable;
    if (!usable) {
        m_prefixes.removeUpstream(*index);
    }
}

const UpstreamState *CellScheduler::upstream(const UpstreamName &name) const
{
    const auto index = upstreamIndex(name);
    return index ? &m_upstreams[*index] : nullptr;
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
    m_shares.push_back(OrganisationShare{.served = 0, .weight = weight == m_weights.end() ? 1.0 : std::max(weight->second, 1U), .active = false});
    return static_cast<std::uint32_t>(m_organisations.size() - 1);
}

CellScheduler::Vm &CellScheduler::vmOf(const VmName &name, TimePoint now)
{
    const auto [found, added] = m_vmIndex.try_emplace(name, m_vms.size());
    if (added) {
        m_vms.push_back(Vm{.name = name});
    }
    Vm &vm = m_vms[found->second];
    vm.lastHeard = now;
    return vm;
}

void CellScheduler::handleDemand(const VmName &name, const Demand &demand, TimePoint now)
{
    Vm &vm = vmOf(name, now);
    if (demand.sequence <= vm.demandSequence) {
        return;
    }
    vm.demandSequence = demand.sequence;
    vm.lowestWaiting = demand.lowestWaiting;
    vm.mustShed = demand.mustShed;
    vm.answerDue = true;
    expireUnseen(now);
    vm.lines.clear();
    for (const DemandLine &line : demand.lines) {
        vm.lines.push_back(Line{
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
    subtractUnseen(vm);
}

/// A demand that was sent before the grants for it arrived asks for them once more: what is on its way is taken off.
void CellScheduler::subtractUnseen(Vm &vm)
{
    for (const Unseen &unseen : vm.unseen) {
        const auto line = std::ranges::find_if(vm.lines, [&unseen](const Line &candidate) { return candidate.key == unseen.key && candidate.count > 0; });
        if (line != vm.lines.end()) {
            --line->count;
        }
    }
}

void CellScheduler::handleReport(const VmName &name, const GrantReport &report, TimePoint now)
{
    Vm &vm = vmOf(name, now);
    if (report.sequence <= vm.reportSequence) {
        return;
    }
    vm.reportSequence = report.sequence;
    vm.reported = true;
    countHeld(vm.held, -1);
    vm.held = report.inFlight;
    countHeld(vm.held, 1);
    // Counts of grants are comparable inside an epoch only.
    const std::uint64_t seen = report.epoch == m_options.epoch ? report.grantsSeen : 0;
    while (!vm.unseen.empty() && vm.unseen.front().number <= seen) {
        dropUnseen(vm.unseen.front());
        vm.unseen.pop_front();
    }
    for (const UpstreamName &upstream : report.unreachable) {
        setUsable(upstream, false);
    }
}

void CellScheduler::countHeld(const std::vector<InFlight> &held, int sign)
{
    for (const InFlight &line : held) {
        const auto index = upstreamIndex(line.upstream);
        if (!index) {
            continue;
        }
        UpstreamState &upstream = m_upstreams[*index];
        upstream.inFlight += static_cast<std::uint32_t>(sign) * line.requests;
        upstream.longInFlight += static_cast<std::uint32_t>(sign) * line.longRequests;
    }
}

void CellScheduler::dropUnseen(const Unseen &unseen)
{
    --m_upstreams[unseen.upstream].inFlight;
    m_upstreams[unseen.upstream].longInFlight -= unseen.isLong ? 1 : 0;
}

void CellScheduler::handleLoad(const UpstreamName &name, const UpstreamLoad &load, TimePoint /*now*/)
{
    const auto index = upstreamIndex(name);
    if (!index) {
        return;
    }
    m_upstreams[*index].usable = true;
    if (m_options.adaptWindows) {
        adaptWindow(m_upstreams[*index], m_speeds[*index].last, load);
    }
    learnSpeed(*index, load);
}

/// An engine that lets requests wait in two reports running has a full batch: its window is what it runs. Once is no sign, for
/// every request waits until the step under way has ended. One that lets nothing wait with a full window may have room for one more.
void CellScheduler::adaptWindow(UpstreamState &upstream, const UpstreamLoad &last, const UpstreamLoad &load) const
{
    if (load.waiting > 0 && last.waiting > 0 && load.running > 0) {
        upstream.window = std::min<double>(upstream.window, std::max(load.running, last.running));
    } else if (load.waiting == 0 && load.running + 1 >= static_cast<std::uint32_t>(upstream.window)) {
        upstream.window = std::min<double>(upstream.window + 1, upstream.slots);
    }
}

/// The time between tokens is the sequences' time over the tokens made, between two reports.
void CellScheduler::learnSpeed(std::uint32_t index, const UpstreamLoad &load)
{
    LearnedSpeed &speed = m_speeds[index];
    const UpstreamLoad last = speed.last;
    if (speed.known && load.at <= last.at) {
        return;
    }
    speed.last = load;
    if (!std::exchange(speed.known, true) || load.generatedTokens < last.generatedTokens + LeastTokens) {
        return;
    }
    const double sequences = (last.running + load.running) / 2.0;
    const auto tokens = static_cast<double>(load.generatedTokens - last.generatedTokens);
    const double measured = static_cast<double>((load.at - last.at).count()) * sequences / tokens;
    double &token = m_upstreams[index].tokenMicroseconds;
    token = std::exchange(m_upstreams[index].speedMeasured, true) ? token + SpeedGain * (measured - token) : measured;
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
    if (now >= m_started + m_options.takeoverWait) {
        return false;
    }
    return std::ranges::any_of(m_options.entryVms, [this](const VmName &name) {
        const auto found = m_vmIndex.find(name);
        return found == m_vmIndex.end() || !m_vms[found->second].reported;
    });
}

void CellScheduler::forgetSilentVms(TimePoint now)
{
    for (Vm &vm : m_vms) {
        if (now - vm.lastHeard < VmSilence) {
            continue;
        }
        countHeld(vm.held, -1);
        vm.held.clear();
        vm.lines.clear();
        vm.lowestWaiting.reset();
        vm.mustShed.reset();
    }
}

void CellScheduler::expireUnseen(TimePoint now)
{
    for (Vm &vm : m_vms) {
        while (!vm.unseen.empty() && vm.unseen.front().until <= now) {
            dropUnseen(vm.unseen.front());
            vm.unseen.pop_front();
        }
    }
}

}

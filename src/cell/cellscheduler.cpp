#include "cell/cellscheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cumindyke
{

namespace
{

/// A grant is dead this long after the demand it answers was sent.
constexpr Duration GrantExpiry = std::chrono::milliseconds(500);
/// The scheduler counts a grant as held for longer: it counts from when it sent it, and a dispatch at the last moment takes time to show.
constexpr Duration UnseenExpiry = std::chrono::milliseconds(1500);
/// An entry VM that holds or wants something reports several times a second. One that is silent for longer has died or is cut off:
/// upstreams cancel what a dead VM ran, for its connections close, so its slots are free again.
constexpr Duration VmSilence = std::chrono::seconds(2);
/// How long lower tiers stay refused after a VM had to shed a higher one.
constexpr Duration RefuseHold = std::chrono::milliseconds(500);
/// How long a tier counts as overloaded after a request of it had to be shed.
constexpr Duration FairHold = std::chrono::seconds(5);
/// Organisations whose served work differs by less than this many tokens count as even.
constexpr double EvenWork = 8000;
/// An ended slot may stay with its VM this long for the next request. At a steady load a VM then needs no message for a request.
constexpr Duration KeepSlots = std::chrono::milliseconds(500);
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
        m_prefixes.forget(*index);
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

void CellScheduler::takeDemand(const VmName &name, const Demand &demand, TimePoint now)
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

void CellScheduler::takeReport(const VmName &name, const GrantReport &report, TimePoint now)
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

void CellScheduler::takeLoad(const UpstreamName &name, const UpstreamLoad &load, TimePoint /*now*/)
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
    token = std::exchange(m_upstreams[index].speedLearned, true) ? token + SpeedGain * (measured - token) : measured;
}

void CellScheduler::takeCacheEvent(const UpstreamName &upstream, std::uint64_t prefix, bool stored)
{
    const auto index = upstreamIndex(upstream);
    if (!index || !m_options.useCacheEvents) {
        return;
    }
    stored ? m_prefixes.stored(prefix, *index) : m_prefixes.evicted(prefix, *index);
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

std::vector<std::pair<VmName, Grants>> CellScheduler::step(TimePoint now)
{
    // Step 1. What died or expired no longer holds capacity.
    forgetSilentVms(now);
    expireUnseen(now);
    decideFloor(now);
    // Step 2. A new holder of the cell does not know what the last one granted: grants before the entry VMs have said what they hold
    // would overrun the engines, whose queues know no priorities.
    if (waitsForReports(now)) {
        return {};
    }
    // Step 3. Tier by tier, the highest first; a lower one gets what no line above could use.
    collectLines();
    std::vector<std::vector<Grant>> grants(m_vms.size());
    for (std::size_t begin = 0; begin < m_waiting.size();) {
        std::size_t end = begin;
        while (end < m_waiting.size() && m_waiting[end]->tier == m_waiting[begin]->tier) {
            ++end;
        }
        grantTier(std::span(m_waiting).subspan(begin, end - begin), now, grants);
        begin = end;
    }
    // Step 4. The answers.
    decideKeeping();
    std::vector<std::pair<VmName, Grants>> answers;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        if (grants[i].empty() && !m_vms[i].answerDue) {
            continue;
        }
        answers.emplace_back(m_vms[i].name, answer(m_vms[i], std::move(grants[i])));
    }
    return answers;
}

void CellScheduler::collectLines()
{
    m_waiting.clear();
    for (Vm &vm : m_vms) {
        for (Line &line : vm.lines) {
            if (line.count > 0) {
                m_waiting.push_back(&line);
            }
        }
    }
    std::ranges::sort(m_waiting, [](const Line *left, const Line *right) {
        return std::tie(left->tier, left->deadline, left->vm, left->key) < std::tie(right->tier, right->deadline, right->vm, right->key);
    });
    for (OrganisationShare &share : m_shares) {
        share.active = share.active && std::ranges::any_of(m_waiting, [&](const Line *line) { return &m_shares[line->organisation] == &share; });
    }
    wakeOrganisations(m_waiting);
}

/// An organisation that comes back from idleness starts at the least of those that wait, so that it has no claim on the time when it
/// asked for nothing.
void CellScheduler::wakeOrganisations(std::span<Line *const> lines)
{
    double least = std::numeric_limits<double>::max();
    for (const OrganisationShare &share : m_shares) {
        least = share.active ? std::min(least, share.served) : least;
    }
    for (const Line *line : lines) {
        OrganisationShare &share = m_shares[line->organisation];
        if (!share.active && least < std::numeric_limits<double>::max()) {
            share.served = std::max(share.served, least);
        }
    }
    for (const Line *line : lines) {
        m_shares[line->organisation].active = true;
    }
}

void CellScheduler::grantTier(std::span<Line *const> tier, TimePoint now, std::vector<std::vector<Grant>> &grants)
{
    std::vector<std::deque<Line *>> waiting(m_organisations.size());
    for (Line *line : tier) {
        waiting[line->organisation].push_back(line);
    }
    const auto shedUntil = m_shedUntil.find(tier.front()->tier);
    const bool fair = m_options.fairByWork && shedUntil != m_shedUntil.end() && now < shedUntil->second;
    while (const auto organisation = nextOrganisation(waiting, fair)) {
        Line &line = *waiting[*organisation].front();
        const bool granted = grantLine(line, now, grants[line.vm]);
        if (granted) {
            m_shares[*organisation].served += (line.prompt.value + line.answer.value) / m_shares[*organisation].weight;
        }
        if (!granted || line.count == 0) {
            waiting[*organisation].pop_front();
        }
    }
}

/// The organisation whose line has the earliest deadline; when it must be fair, among those about even with the one served least.
/// Fairness always would let the requests of a busy organisation wait to the edge of their deadlines though all could be served.
std::optional<std::uint32_t> CellScheduler::nextOrganisation(const std::vector<std::deque<Line *>> &waiting, bool fair) const
{
    double least = std::numeric_limits<double>::max();
    for (std::uint32_t i = 0; i < waiting.size(); ++i) {
        least = waiting[i].empty() ? least : std::min(least, m_shares[i].served);
    }
    std::optional<std::uint32_t> next;
    for (std::uint32_t i = 0; i < waiting.size(); ++i) {
        if (waiting[i].empty() || (fair && m_shares[i].served > least + EvenWork)) {
            continue;
        }
        if (!next || waiting[i].front()->deadline < waiting[*next].front()->deadline) {
            next = i;
        }
    }
    return next;
}

bool CellScheduler::grantLine(Line &line, TimePoint now, std::vector<Grant> &grants)
{
    const bool longWork = isLong(line.prompt, line.answer);
    const PrefixIndex::Mask cachedOn = line.prefix == 0 ? 0 : m_prefixes.holders(line.prefix);
    const PlacementRequest request{
        .version = line.version,
        .prompt = line.prompt,
        .answer = line.answer,
        .isLong = longWork,
        .cachedOn = cachedOn,
        .deadline = line.deadline,
    };
    const auto chosen = choosePlacement(m_upstreams, request, m_options.placement, now);
    if (!chosen) {
        return false;
    }
    UpstreamState &upstream = m_upstreams[*chosen];
    const bool cached = *chosen < PrefixIndex::MaxUpstreams && (cachedOn >> *chosen & 1U) != 0;
    upstream.addBacklog(line.prompt.value * (cached ? 0.5 : 1.0), now);
    ++upstream.inFlight;
    upstream.longInFlight += longWork ? 1 : 0;
    m_prefixes.stored(line.prefix, *chosen);
    --line.count;
    Vm &vm = m_vms[line.vm];
    vm.unseen.push_back(Unseen{.number = vm.grantsSent + 1, .upstream = *chosen, .key = line.key, .isLong = longWork, .until = now + UnseenExpiry});
    grants.push_back(Grant{
        .upstream = m_names[*chosen].name,
        .version = m_names[*chosen].version,
        .slots = 1,
        .tier = line.tier,
        .expires = GrantExpiry,
        .key = line.key,
        .perToken = Duration(upstream.speedLearned ? static_cast<Duration::rep>(upstream.tokenMicroseconds) : 0),
    });
    return true;
}

/// The lowest tier that waits anywhere. When a VM must shed a tier while a lower one waits, the lower ones are refused everywhere
/// first: the VM sheds only after an answer shows that nothing lower waits.
void CellScheduler::decideFloor(TimePoint now)
{
    m_lowestWaiting.reset();
    const std::optional<TierRank> refusedBefore = m_refuseFrom;
    std::optional<TierRank> mustShed;
    for (const Vm &vm : m_vms) {
        if (vm.lowestWaiting && (!m_lowestWaiting || *vm.lowestWaiting > *m_lowestWaiting)) {
            m_lowestWaiting = vm.lowestWaiting;
        }
        if (!vm.mustShed) {
            continue;
        }
        m_shedUntil[*vm.mustShed] = now + FairHold;
        mustShed = mustShed ? std::min(*mustShed, *vm.mustShed) : vm.mustShed;
    }
    if (mustShed) {
        m_refuseFrom = TierRank{static_cast<std::uint8_t>(mustShed->value + 1)};
        m_refuseUntil = now + RefuseHold;
    } else if (now >= m_refuseUntil) {
        m_refuseFrom.reset();
    }
    if (m_refuseFrom == refusedBefore) {
        return;
    }
    // Every VM hears of it at once: one that still admits lower tiers would have them wait while a higher one is shed elsewhere.
    for (Vm &vm : m_vms) {
        vm.answerDue = true;
    }
}

/// Slots may stay with the VMs while every line got its grant. When one did not, each VM that holds something is told to give back
/// what it keeps, so that a kept slot delays urgent work of another VM by two messages at most.
void CellScheduler::decideKeeping()
{
    const bool kept = std::exchange(m_keep, m_options.keepSlots && std::ranges::all_of(m_waiting, [](const Line *line) { return line->count == 0; }));
    if (!kept || m_keep) {
        return;
    }
    for (Vm &vm : m_vms) {
        vm.answerDue = vm.answerDue || !vm.held.empty() || !vm.unseen.empty();
    }
}

Grants CellScheduler::answer(Vm &vm, std::vector<Grant> grants) const
{
    vm.answerDue = false;
    double token = std::numeric_limits<double>::max();
    for (const UpstreamState &upstream : m_upstreams) {
        token = upstream.usable && upstream.speedLearned ? std::min(token, upstream.tokenMicroseconds) : token;
    }
    token = token == std::numeric_limits<double>::max() ? 0 : token;
    return Grants{
        .cell = m_options.cell,
        .epoch = m_options.epoch,
        .sequence = vm.demandSequence,
        .number = ++vm.grantsSent,
        .grants = std::move(grants),
        .lowestWaiting = m_lowestWaiting,
        .refuseFrom = m_refuseFrom,
        .perToken = Duration(static_cast<Duration::rep>(token)),
        .perPrefillToken = std::chrono::nanoseconds(static_cast<std::int64_t>(token * 1000 / PrefillTokensPerToken)),
        .keep = m_keep ? KeepSlots : Duration::zero(),
    };
}

}

#include "cell/grantpool.h"

#include "common/hash.h"

#include <algorithm>
#include <bit>

namespace cumindyke
{

namespace
{

/// Maximum number of lines in a demand, and so of lines that can be granted before the next demand. Bounds the message size and the scheduler's
/// work when many requests wait.
constexpr std::size_t MaxDemandLines = 16;
/// Number of sent demands whose sending times are stored.
constexpr std::size_t MaxSentDemands = 64;
/// Time after which a request that its home cell has not served is demanded from every cell of the service.
constexpr Duration HomeCellTimeout = std::chrono::milliseconds(10);
/// Time without a reply to a demand after which a cell's scheduler is assumed dead. The lease of a crashed VM expires and its cells are
/// reassigned within about three seconds in most cases, and callers wait for their first token in the meantime.
constexpr Duration FallbackTimeout = std::chrono::milliseconds(1000);
/// Time for which an upstream gets no request after it refused a connection.
constexpr Duration UnreachableDuration = std::chrono::seconds(1);
/// Interval at which messages are sent at least, while the VM has waiting or running requests.
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
/// While requests of other VMs wait, freed slots are reported at once; otherwise they are reported together, at this interval.
constexpr Duration LazyReportInterval = std::chrono::milliseconds(200);
/// Age after which a scheduler's waiting and refused tiers are ignored.
constexpr Duration MaxTierStateAge = std::chrono::milliseconds(1000);

/// Rounds a length up to three significant bits, so that similar lengths share a demand line.
std::uint32_t roundLength(std::uint32_t tokens)
{
    const int bits = std::bit_width(tokens);
    if (bits <= 3) {
        return tokens;
    }
    const std::uint32_t step = 1U << (bits - 3);
    return (tokens + step - 1) / step * step;
}

/// Mixes the bits of a hash with the finalizer of SplitMix64 (Steele, Lea, Flood 2014).
std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

}

Duration RunSpeed::runTime(const PendingRequest &request) const
{
    return perToken * request.answerTokens.value + std::chrono::duration_cast<Duration>(perPrefillToken * request.promptTokens.value);
}

std::uint32_t demandKey(const PendingRequest &request, const VersionName &version)
{
    std::uint64_t key = mixBits(request.prefix + request.tier.value);
    key = mixBits(key ^ checksum(request.organisation.value));
    key = mixBits(key ^ checksum(version.value));
    key = mixBits(key + roundLength(request.promptTokens.value));
    key = mixBits(key + roundLength(request.answerTokens.value));
    return static_cast<std::uint32_t>(key);
}

GrantPool::GrantPool(VmName vm)
    : m_vm(std::move(vm))
{
}

std::optional<std::uint32_t> GrantPool::cellIndex(const CellName &cell) const
{
    const auto found = std::ranges::find(m_cells, cell, &Cell::name);
    return found == m_cells.end() ? std::nullopt : std::optional(static_cast<std::uint32_t>(found - m_cells.begin()));
}

std::uint32_t GrantPool::findOrAddCell(const PooledUpstream &upstream)
{
    if (const auto known = cellIndex(upstream.cell)) {
        return *known;
    }
    m_cells.push_back(Cell{.name = upstream.cell, .service = upstream.service});
    return static_cast<std::uint32_t>(m_cells.size() - 1);
}

void GrantPool::setUpstreams(const std::vector<PooledUpstream> &upstreams, VmShare share)
{
    m_rateShare = 1.0 / std::max<std::uint32_t>(1, share.count);
    for (UpstreamSlots &known : m_upstreams) {
        known.declared = false;
    }
    std::uint32_t upstreamNumber = 0;
    for (const PooledUpstream &upstream : upstreams) {
        const auto [found, added] = m_upstreamIndex.try_emplace(upstream.name, m_upstreams.size());
        if (added) {
            m_upstreams.emplace_back();
        }
        UpstreamSlots &slots = m_upstreams[found->second];
        slots.upstream = upstream;
        slots.cell = findOrAddCell(upstream);
        slots.declared = true;
        // The shares of all VMs add up to the upstream's slots. The VMs that get the remainder differ between upstreams.
        const std::uint32_t position = (share.index + upstreamNumber++) % share.count;
        slots.fallbackShare = upstream.slots * (position + 1) / share.count - upstream.slots * position / share.count;
    }
}

void GrantPool::handleGrants(const Grants &grants, TimePoint now)
{
    const auto index = cellIndex(grants.cell);
    if (!index) {
        return;
    }
    Cell &cell = m_cells[*index];
    // A previous scheduler of the cell may still be sending. Its grants are invalid, since the new one counts only the slots reported to it.
    if (grants.epoch < cell.epoch || (grants.epoch == cell.epoch && grants.number <= cell.grantsSeen)) {
        return;
    }
    if (grants.epoch > cell.epoch) {
        returnGrants(cell, true, now);
    }
    cell.epoch = grants.epoch;
    cell.grantsSeen = grants.number;
    cell.unacknowledgedSince.reset();
    cell.lastReceivedAt = now;
    cell.lowestWaiting = grants.lowestWaiting;
    cell.refuseFrom = grants.refuseFrom;
    cell.keepDuration = grants.keepDuration;
    if (cell.keepDuration == Duration::zero()) {
        returnGrants(cell, true, now);
    }
    if (grants.perToken > Duration::zero()) {
        cell.speed = RunSpeed{.perToken = grants.perToken, .perPrefillToken = grants.perPrefillToken};
    }
    const auto sentDemand = std::ranges::find(cell.sentDemands, grants.sequence, [](const auto &entry) { return entry.first; });
    if (sentDemand == cell.sentDemands.end()) {
        return;
    }
    for (const Grant &grant : grants.grants) {
        const auto upstream = m_upstreamIndex.find(grant.upstream);
        const TimePoint expiry = sentDemand->second + grant.lifetime;
        if (upstream == m_upstreamIndex.end() || expiry <= now) {
            continue;
        }
        for (std::uint32_t slot = 0; slot < grant.slots; ++slot) {
            cell.unusedGrants.push_back(
                UnusedGrant{.upstream = upstream->second, .tier = grant.tier, .key = grant.key, .expiry = expiry, .perToken = grant.perToken});
            ++m_upstreams[upstream->second].unused;
        }
        cell.reportDue = true;
    }
}

std::optional<Slot> GrantPool::acquire(const PendingRequest &request, const Declarations & /*declarations*/, const VersionName &version, TimePoint now)
{
    if (auto slot = acquireGrant(request, version, demandKey(request, version), now)) {
        return slot;
    }
    if (auto slot = acquireKept(request, version, now)) {
        return slot;
    }
    return acquireFallback(request, version, now);
}

/// Uses a grant for requests like this one, or else one of a lower tier, so that an urgent request need not wait for a reply while a less urgent
/// one has a slot.
std::optional<Slot> GrantPool::acquireGrant(const PendingRequest &request, const VersionName &version, std::uint32_t key, TimePoint now)
{
    for (const bool ownKey : {true, false}) {
        for (Cell &cell : m_cells) {
            if (cell.service != request.service) {
                continue;
            }
            const auto grant = std::ranges::find_if(cell.unusedGrants, [&](const UnusedGrant &candidate) {
                const UpstreamSlots &upstream = m_upstreams[candidate.upstream];
                const bool fits = !candidate.isKept && (ownKey ? candidate.key == key : candidate.tier > request.tier);
                return fits && candidate.expiry > now && upstream.upstream.version == version && upstream.mayUse(request, now);
            });
            if (grant == cell.unusedGrants.end()) {
                continue;
            }
            cell.reportDue = true;
            // The demand that this grant answers has been met. Without the reset, the next similar request would have the same demand hash, would
            // be treated as already demanded, and would wait for the next report: a single caller saw 150 ms of additional latency per request.
            cell.lastDemandHash = 0;
            return useGrant(cell, grant, request);
        }
    }
    return {};
}

std::optional<Slot> GrantPool::useGrant(Cell &cell, std::vector<UnusedGrant>::iterator grant, const PendingRequest &request)
{
    const UnusedGrant used = *grant;
    --m_upstreams[used.upstream].unused;
    cell.unusedGrants.erase(grant);
    return occupySlot(used.upstream, request, &used);
}

/// Uses the kept slot on the fastest upstream. Not for a request with a prefix, which the scheduler places better since it knows the caches.
std::optional<Slot> GrantPool::acquireKept(const PendingRequest &request, const VersionName &version, TimePoint now)
{
    Cell *bestCell = nullptr;
    std::vector<UnusedGrant>::iterator best;
    for (Cell &cell : m_cells) {
        if (cell.service != request.service || cell.keepDuration == Duration::zero()) {
            continue;
        }
        for (auto grant = cell.unusedGrants.begin(); grant != cell.unusedGrants.end(); ++grant) {
            if (mayUseKept(*grant, request, version, now) && (!bestCell || grant->perToken < best->perToken)) {
                bestCell = &cell;
                best = grant;
            }
        }
    }
    return bestCell ? useGrant(*bestCell, best, request) : std::nullopt;
}

bool GrantPool::mayUseKept(const UnusedGrant &grant, const PendingRequest &request, const VersionName &version, TimePoint now) const
{
    const UpstreamSlots &upstream = m_upstreams[grant.upstream];
    if (!grant.isKept || grant.expiry <= now || !upstream.declared || upstream.upstream.version != version || !upstream.mayUse(request, now)) {
        return false;
    }
    if (request.prefix != 0 || isLong(request.promptTokens, request.answerTokens)) {
        return false;
    }
    // The request must finish within half of its time, since the speed is some hundred milliseconds old.
    return grant.perToken * request.answerTokens.value <= (request.deadline - now) / 2;
}

std::optional<Slot> GrantPool::acquireFallback(const PendingRequest &request, const VersionName &version, TimePoint now)
{
    std::optional<std::uint32_t> best;
    double lowestUtilisation = 1;
    for (std::uint32_t i = 0; i < m_upstreams.size(); ++i) {
        const UpstreamSlots &slots = m_upstreams[i];
        if (!slots.declared || slots.upstream.service != request.service || slots.upstream.version != version || !slots.mayUse(request, now)) {
            continue;
        }
        if (!usesFallback(m_cells[slots.cell], now) || slots.running >= slots.fallbackShare) {
            continue;
        }
        const double utilisation = static_cast<double>(slots.running) / slots.fallbackShare;
        if (utilisation < lowestUtilisation) {
            best = i;
            lowestUtilisation = utilisation;
        }
    }
    return best ? occupySlot(*best, request, nullptr) : std::nullopt;
}

std::optional<Slot> GrantPool::occupySlot(std::uint32_t index, const PendingRequest &request, const UnusedGrant *grant)
{
    UpstreamSlots &slots = m_upstreams[index];
    const bool isLongWork = isLong(request.promptTokens, request.answerTokens);
    ++slots.running;
    slots.longRunning += isLongWork ? 1 : 0;
    slots.tokens += request.work.value;
    slots.trials += request.isOnTrial ? 1 : 0;
    const Duration perToken = grant ? grant->perToken : Duration::zero();
    m_usedSlots.emplace(++m_lastSlotNumber,
                        UsedSlot{.upstream = index,
                                 .isLong = isLongWork,
                                 .tokens = request.work.value,
                                 .perToken = perToken,
                                 .mayKeep = grant && request.prefix == 0 && !isLongWork,
                                 .isOnTrial = request.isOnTrial});
    return Slot{.upstream = slots.upstream.name, .grant = m_lastSlotNumber};
}

void GrantPool::release(const Slot &slot, TimePoint now)
{
    const auto found = m_usedSlots.find(slot.grant);
    if (found == m_usedSlots.end()) {
        return;
    }
    UpstreamSlots &slots = m_upstreams[found->second.upstream];
    --slots.running;
    slots.longRunning -= found->second.isLong ? 1 : 0;
    slots.tokens -= found->second.tokens;
    slots.trials -= found->second.isOnTrial ? 1 : 0;
    Cell &cell = m_cells[slots.cell];
    const UsedSlot usedSlot = found->second;
    m_usedSlots.erase(found);
    // Only a slot granted by a scheduler can be kept, since the scheduler counts it as held by this VM. A slot on an upstream that was removed or
    // refused a connection is not kept.
    if (!usedSlot.mayKeep || cell.keepDuration == Duration::zero() || !slots.declared || slots.unreachableUntil > now) {
        cell.reportDue = true;
        return;
    }
    ++slots.unused;
    cell.unusedGrants.push_back(UnusedGrant{.upstream = usedSlot.upstream, .expiry = now + cell.keepDuration, .perToken = usedSlot.perToken, .isKept = true});
}

void GrantPool::recordUnreachable(const UpstreamName &upstream, TimePoint now)
{
    const auto found = m_upstreamIndex.find(upstream);
    if (found == m_upstreamIndex.end()) {
        return;
    }
    m_upstreams[found->second].unreachableUntil = now + UnreachableDuration;
    m_cells[m_upstreams[found->second].cell].reportDue = true;
}

void GrantPool::recordRequestLimit(const UpstreamName &upstream, std::optional<double> perSecond, TimePoint now)
{
    const auto found = m_upstreamIndex.find(upstream);
    if (found == m_upstreamIndex.end()) {
        return;
    }
    UpstreamSlots &slots = m_upstreams[found->second];
    const bool wasLimited = slots.rate.isLimited();
    slots.rate.setLimit(perSecond, now, now);
    if (!perSecond) {
        slots.limitedUntil = {};
    } else if (!wasLimited) {
        slots.limitedUntil = slots.rate.nextSendAt(m_rateShare, now);
    }
}

void GrantPool::recordSent(const UpstreamName &upstream, TimePoint now)
{
    const auto found = m_upstreamIndex.find(upstream);
    if (found == m_upstreamIndex.end() || !m_upstreams[found->second].rate.isLimited()) {
        return;
    }
    UpstreamSlots &slots = m_upstreams[found->second];
    slots.rate.recordSent(m_rateShare, now);
    slots.limitedUntil = slots.rate.nextSendAt(m_rateShare, now);
}

bool GrantPool::exhausted(TimePoint now) const
{
    return std::ranges::none_of(m_cells, [this, now](const Cell &cell) { return !cell.unusedGrants.empty() || usesFallback(cell, now); });
}

bool GrantPool::usesFallback(const Cell &cell, TimePoint now) const
{
    return cell.unacknowledgedSince && now - *cell.unacknowledgedSince >= FallbackTimeout;
}

bool GrantPool::isFallback(const CellName &cell, TimePoint now) const
{
    const auto index = cellIndex(cell);
    return index && usesFallback(m_cells[*index], now);
}

/// Removes the grants that no request of this VM could use and the expired kept slots, or all kept slots if includeKept is set. The next report
/// returns them to the scheduler, since it does not include them.
void GrantPool::returnGrants(Cell &cell, bool includeKept, TimePoint now)
{
    const std::size_t before = cell.unusedGrants.size();
    std::erase_if(cell.unusedGrants, [&](const UnusedGrant &grant) {
        const UpstreamSlots &slots = m_upstreams[grant.upstream];
        if (grant.isKept && !includeKept && grant.expiry > now && slots.declared && slots.unreachableUntil <= now) {
            return false;
        }
        --m_upstreams[grant.upstream].unused;
        return true;
    });
    cell.reportDue = cell.reportDue || cell.unusedGrants.size() != before;
}

/// Returns the home cell of a prefix by rendezvous hashing (Thaler, Ravishankar 1998): each VM finds the same home, and adding or removing a
/// cell moves only that cell's share of the prefixes.
std::uint32_t GrantPool::homeCell(const ServiceName &service, std::uint64_t prefix) const
{
    std::uint32_t home = 0;
    std::uint64_t highest = 0;
    for (std::uint32_t i = 0; i < m_cells.size(); ++i) {
        const std::uint64_t weight = mixBits(prefix ^ checksum(m_cells[i].name.value)) | 1U;
        if (m_cells[i].service == service && weight > highest) {
            home = i;
            highest = weight;
        }
    }
    return home;
}

std::vector<DemandLine> GrantPool::demandLines(std::uint32_t cell, const PendingQueue &queue, const VersionName &serviceVersion, TimePoint now) const
{
    std::vector<DemandLine> result;
    for (const PendingRequest *request : queue.inOrder(4 * MaxDemandLines)) {
        const std::uint64_t prefix = request->prefix != 0 ? request->prefix : checksum(request->id.value);
        if (now - request->arrival < HomeCellTimeout && homeCell(request->service, prefix) != cell) {
            continue;
        }
        const VersionName &version = request->version.value.empty() ? serviceVersion : request->version;
        const std::uint32_t key = demandKey(*request, version);
        const Duration untilDeadline = request->deadline - now;
        const auto sameKey = std::ranges::find(result, key, &DemandLine::key);
        if (sameKey != result.end()) {
            ++sameKey->count;
            sameKey->untilDeadline = std::min(sameKey->untilDeadline, untilDeadline);
            continue;
        }
        if (result.size() == MaxDemandLines) {
            break;
        }
        result.push_back(DemandLine{
            .tier = request->tier,
            .version = version,
            .organisation = request->organisation,
            .promptTokens = TokenCount{roundLength(request->promptTokens.value)},
            .answerTokens = TokenCount{roundLength(request->answerTokens.value)},
            .prefix = request->prefix,
            .count = 1,
            .untilDeadline = untilDeadline,
            .key = key,
        });
    }
    return result;
}

GrantReport GrantPool::makeReport(const Cell &cell, std::uint32_t index, TimePoint now) const
{
    GrantReport report{
        .cell = cell.name, .vm = m_vm, .epoch = cell.epoch, .sequence = cell.sequence, .grantsSeen = cell.grantsSeen, .inFlight = {}, .unreachable = {}};
    for (const UpstreamSlots &slots : m_upstreams) {
        if (slots.cell != index) {
            continue;
        }
        if (slots.running + slots.unused > 0) {
            report.inFlight.push_back(InFlight{
                .upstream = slots.upstream.name,
                .requests = slots.running + slots.unused,
                .longRequests = slots.longRunning,
                .tokens = slots.tokens,
            });
        }
        if (slots.unreachableUntil > now) {
            report.unreachable.push_back(slots.upstream.name);
        }
    }
    return report;
}

bool GrantPool::isMessageDue(const Cell &cell, std::uint32_t index, std::uint64_t demandHash, bool hasWaiting, TimePoint now) const
{
    const bool hasRunning = std::ranges::any_of(m_upstreams, [index](const UpstreamSlots &slots) { return slots.cell == index && slots.running > 0; });
    const Duration sinceLastSent = now - cell.lastSentAt;
    const bool demandChanged = demandHash != 0 && demandHash != cell.lastDemandHash;
    if (demandChanged || ((hasWaiting || hasRunning) && sinceLastSent >= ReportInterval)) {
        return true;
    }
    return (cell.reportDue || demandHash != cell.lastDemandHash) && (cell.keepDuration == Duration::zero() || sinceLastSent >= LazyReportInterval);
}

std::vector<CellMessages> GrantPool::messages(const ServiceName &service, const PendingQueue &queue, const VersionName &serviceVersion, TimePoint now)
{
    std::vector<CellMessages> due;
    const auto mustShed = m_mustShed.find(service);
    for (std::uint32_t i = 0; i < m_cells.size(); ++i) {
        Cell &cell = m_cells[i];
        if (cell.service != service) {
            continue;
        }
        // Step 1. Return the grants that no request of this VM could use, since requests of another VM may wait for them.
        returnGrants(cell, cell.keepDuration == Duration::zero(), now);
        // Step 2. Make the demand and the report, if the scheduler needs them.
        Demand demand{.cell = cell.name, .vm = m_vm, .lines = demandLines(i, queue, serviceVersion, now), .lowestWaiting = queue.lowestPendingTier()};
        demand.mustShed = mustShed == m_mustShed.end() ? std::nullopt : mustShed->second;
        constexpr std::uint64_t RankRadix = 256;
        std::uint64_t demandHash
            = (demand.mustShed ? demand.mustShed->value + 1U : 0U) * RankRadix + (demand.lowestWaiting ? demand.lowestWaiting->value + 1U : 0U);
        for (const DemandLine &line : demand.lines) {
            demandHash = mixBits(demandHash ^ line.key) + line.count;
        }
        if (!isMessageDue(cell, i, demandHash, queue.size() > 0, now)) {
            continue;
        }
        demand.sequence = ++cell.sequence;
        cell.lastDemandHash = demandHash;
        cell.lastSentAt = now;
        cell.reportDue = false;
        if (!cell.unacknowledgedSince) {
            cell.unacknowledgedSince = now;
        }
        cell.sentDemands.emplace_back(cell.sequence, now);
        if (cell.sentDemands.size() > MaxSentDemands) {
            cell.sentDemands.pop_front();
        }
        GrantReport grantReport = makeReport(cell, i, now);
        due.push_back(CellMessages{.demand = std::move(demand), .report = std::move(grantReport)});
    }
    return due;
}

void GrantPool::setMustShed(const ServiceName &service, std::optional<TierRank> tier)
{
    m_mustShed[service] = tier;
}

bool GrantPool::mayShed(const ServiceName &service, TierRank tier, TimePoint now) const
{
    return std::ranges::none_of(m_cells, [&](const Cell &cell) {
        if (cell.service != service || now - cell.lastReceivedAt >= MaxTierStateAge) {
            return false;
        }
        const bool lowerRefused = cell.refuseFrom && cell.refuseFrom->value <= tier.value + 1U;
        return !lowerRefused || (cell.lowestWaiting && *cell.lowestWaiting > tier);
    });
}

std::optional<TierRank> GrantPool::refuseFrom(const ServiceName &service, TimePoint now) const
{
    std::optional<TierRank> highest;
    for (const Cell &cell : m_cells) {
        if (cell.service != service || now - cell.lastReceivedAt >= MaxTierStateAge || !cell.refuseFrom) {
            continue;
        }
        highest = highest ? std::min(*highest, *cell.refuseFrom) : cell.refuseFrom;
    }
    return highest;
}

RunSpeed GrantPool::speed(const ServiceName &service) const
{
    RunSpeed best{.perToken = Duration::max()};
    for (const Cell &cell : m_cells) {
        if (cell.service == service && cell.speed.perToken > Duration::zero() && cell.speed.perToken < best.perToken) {
            best = cell.speed;
        }
    }
    return best.perToken == Duration::max() ? RunSpeed{} : best;
}

}

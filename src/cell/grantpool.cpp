#include "cell/grantpool.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Time without a reply to a demand after which a cell's scheduler is assumed dead. The lease of a crashed VM expires and its cells are
/// reassigned within about three seconds in most cases, and callers wait for their first token in the meantime.
constexpr Duration FallbackTimeout = std::chrono::milliseconds(1000);
/// Time for which an upstream gets no request after it refused a connection.
constexpr Duration UnreachableDuration = std::chrono::seconds(1);
/// Age after which a scheduler's waiting and refused tiers are ignored.
constexpr Duration MaxTierStateAge = std::chrono::milliseconds(1000);

}

Duration RunSpeed::runTime(const PendingRequest &request) const
{
    return perToken * request.answerTokens.value + std::chrono::duration_cast<Duration>(perPrefillToken * request.promptTokens.value);
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

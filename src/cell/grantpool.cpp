#include "cell/grantpool.h"

#include "common/hash.h"

#include <algorithm>
#include <bit>

namespace cumindyke
{

namespace
{

/// Lines of a demand at most: what may be granted before the next one. Keeps the bytes and the scheduler's work bounded in a backlog.
constexpr std::size_t MaxLines = 16;
constexpr std::size_t RememberedDemands = 64;
/// A request that its home cell has not served for this long asks every cell of the service.
constexpr Duration SpreadAfter = std::chrono::milliseconds(10);
/// A scheduler that has not answered a demand for this long is taken for dead: most crashes of a VM are over by lease in three
/// seconds, and callers wait for their first token meanwhile.
constexpr Duration FallbackAfter = std::chrono::milliseconds(1000);
constexpr Duration Unreachable = std::chrono::seconds(1);
/// While the VM holds or wants something, the scheduler hears of it at least this often.
constexpr Duration Heartbeat = std::chrono::milliseconds(500);
/// Freed slots are told at once when somebody waits for them, else together.
constexpr Duration LazyReport = std::chrono::milliseconds(200);
constexpr Duration FloorAge = std::chrono::milliseconds(1000);

/// Rounded up to three significant bits, so that like lengths share a line.
std::uint32_t rounded(std::uint32_t tokens)
{
    const int bits = std::bit_width(tokens);
    if (bits <= 3) {
        return tokens;
    }
    const std::uint32_t step = 1U << (bits - 3);
    return (tokens + step - 1) / step * step;
}

/// The finalizer of SplitMix64 (Steele, Lea, Flood 2014): spreads what was mixed in.
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

}

Duration RunSpeed::run(const PendingRequest &request) const
{
    return perToken * request.answerTokens.value + std::chrono::duration_cast<Duration>(perPrefillToken * request.promptTokens.value);
}

std::uint32_t demandKey(const PendingRequest &request, const VersionName &version)
{
    std::uint64_t key = mixed(request.prefix + request.tier.value);
    key = mixed(key ^ checksum(request.organisation.value));
    key = mixed(key ^ checksum(version.value));
    key = mixed(key + rounded(request.promptTokens.value));
    key = mixed(key + rounded(request.answerTokens.value));
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

std::uint32_t GrantPool::addCell(const PooledUpstream &upstream)
{
    if (const auto known = cellIndex(upstream.cell)) {
        return *known;
    }
    m_cells.push_back(Cell{.name = upstream.cell, .service = upstream.service});
    return static_cast<std::uint32_t>(m_cells.size() - 1);
}

void GrantPool::setUpstreams(const std::vector<PooledUpstream> &upstreams, VmShare share)
{
    for (UpstreamSlots &known : m_upstreams) {
        known.declared = false;
    }
    std::uint32_t number = 0;
    for (const PooledUpstream &upstream : upstreams) {
        const auto [found, added] = m_upstreamIndex.try_emplace(upstream.name, m_upstreams.size());
        if (added) {
            m_upstreams.emplace_back();
        }
        UpstreamSlots &slots = m_upstreams[found->second];
        slots.upstream = upstream;
        slots.cell = addCell(upstream);
        slots.declared = true;
        // The shares of all VMs add up to the slots; who gets the odd ones differs from upstream to upstream.
        const std::uint32_t turn = (share.index + number++) % share.count;
        slots.share = upstream.slots * (turn + 1) / share.count - upstream.slots * turn / share.count;
    }
}

void GrantPool::handleGrants(const Grants &grants, TimePoint now)
{
    const auto index = cellIndex(grants.cell);
    if (!index) {
        return;
    }
    Cell &cell = m_cells[*index];
    // An old holder of the cell may still be sending: its grants are void, for the new one counts only what was reported to it.
    if (grants.epoch < cell.epoch || (grants.epoch == cell.epoch && grants.number <= cell.grantsSeen)) {
        return;
    }
    if (grants.epoch > cell.epoch) {
        giveBack(cell, true, now);
    }
    cell.epoch = grants.epoch;
    cell.grantsSeen = grants.number;
    cell.unansweredSince.reset();
    cell.lastHeard = now;
    cell.lowestWaiting = grants.lowestWaiting;
    cell.refuseFrom = grants.refuseFrom;
    cell.keep = grants.keep;
    if (cell.keep == Duration::zero()) {
        giveBack(cell, true, now);
    }
    if (grants.perToken > Duration::zero()) {
        cell.speed = RunSpeed{.perToken = grants.perToken, .perPrefillToken = grants.perPrefillToken};
    }
    const auto sent = std::ranges::find(cell.sent, grants.sequence, [](const auto &entry) { return entry.first; });
    if (sent == cell.sent.end()) {
        return;
    }
    for (const Grant &grant : grants.grants) {
        const auto upstream = m_upstreamIndex.find(grant.upstream);
        const TimePoint expiry = sent->second + grant.expires;
        if (upstream == m_upstreamIndex.end() || expiry <= now) {
            continue;
        }
        for (std::uint32_t slot = 0; slot < grant.slots; ++slot) {
            cell.unused.push_back(HeldGrant{.upstream = upstream->second, .tier = grant.tier, .key = grant.key, .expiry = expiry, .perToken = grant.perToken});
            ++m_upstreams[upstream->second].unused;
        }
        cell.heldChanged = true;
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
    return acquireShare(request, version, now);
}

/// Its own grant first; else one of a lower tier, so that urgent work need not wait for an answer while less urgent work has its slot.
std::optional<Slot> GrantPool::acquireGrant(const PendingRequest &request, const VersionName &version, std::uint32_t key, TimePoint now)
{
    for (const bool own : {true, false}) {
        for (Cell &cell : m_cells) {
            if (cell.service != request.service) {
                continue;
            }
            const auto grant = std::ranges::find_if(cell.unused, [&](const HeldGrant &held) {
                const UpstreamSlots &upstream = m_upstreams[held.upstream];
                const bool fits = !held.kept && (own ? held.key == key : held.tier > request.tier);
                return fits && held.expiry > now && upstream.upstream.version == version && upstream.unreachableUntil <= now;
            });
            if (grant == cell.unused.end()) {
                continue;
            }
            cell.heldChanged = true;
            // The demand that this grant answers is met. Without this, the next request that is like it would make the same demand, be taken
            // for known to the scheduler, and wait for the next report: a caller alone saw 150 ms more on each request.
            cell.lastLines = 0;
            return takeGrant(cell, grant, request);
        }
    }
    return {};
}

std::optional<Slot> GrantPool::takeGrant(Cell &cell, std::vector<HeldGrant>::iterator grant, const PendingRequest &request)
{
    const HeldGrant used = *grant;
    --m_upstreams[used.upstream].unused;
    cell.unused.erase(grant);
    return use(used.upstream, request, &used);
}

/// The kept slot on the fastest upstream. Not for a request with a prefix: the scheduler knows the caches and had better place it.
std::optional<Slot> GrantPool::acquireKept(const PendingRequest &request, const VersionName &version, TimePoint now)
{
    Cell *bestCell = nullptr;
    std::vector<HeldGrant>::iterator best;
    for (Cell &cell : m_cells) {
        if (cell.service != request.service || cell.keep == Duration::zero()) {
            continue;
        }
        for (auto grant = cell.unused.begin(); grant != cell.unused.end(); ++grant) {
            if (mayUseKept(*grant, request, version, now) && (!bestCell || grant->perToken < best->perToken)) {
                bestCell = &cell;
                best = grant;
            }
        }
    }
    return bestCell ? takeGrant(*bestCell, best, request) : std::nullopt;
}

bool GrantPool::mayUseKept(const HeldGrant &grant, const PendingRequest &request, const VersionName &version, TimePoint now) const
{
    const UpstreamSlots &upstream = m_upstreams[grant.upstream];
    if (!grant.kept || grant.expiry <= now || !upstream.declared || upstream.upstream.version != version || upstream.unreachableUntil > now) {
        return false;
    }
    if (request.prefix != 0 || isLong(request.promptTokens, request.answerTokens)) {
        return false;
    }
    // With half of the time to spare, for the speed is some hundred milliseconds old.
    return grant.perToken * request.answerTokens.value <= (request.deadline - now) / 2;
}

std::optional<Slot> GrantPool::acquireShare(const PendingRequest &request, const VersionName &version, TimePoint now)
{
    std::optional<std::uint32_t> best;
    double bestPart = 1;
    for (std::uint32_t i = 0; i < m_upstreams.size(); ++i) {
        const UpstreamSlots &slots = m_upstreams[i];
        if (!slots.declared || slots.upstream.service != request.service || slots.upstream.version != version || slots.unreachableUntil > now) {
            continue;
        }
        if (!fallback(m_cells[slots.cell], now) || slots.running >= slots.share) {
            continue;
        }
        const double part = static_cast<double>(slots.running) / slots.share;
        if (part < bestPart) {
            best = i;
            bestPart = part;
        }
    }
    return best ? use(*best, request, nullptr) : std::nullopt;
}

std::optional<Slot> GrantPool::use(std::uint32_t index, const PendingRequest &request, const HeldGrant *grant)
{
    UpstreamSlots &slots = m_upstreams[index];
    const bool longWork = isLong(request.promptTokens, request.answerTokens);
    ++slots.running;
    slots.longRunning += longWork ? 1 : 0;
    slots.tokens += request.work.value;
    const Duration perToken = grant ? grant->perToken : Duration::zero();
    m_inUse.emplace(
        ++m_lastSlot,
        InUse{
            .upstream = index, .isLong = longWork, .tokens = request.work.value, .perToken = perToken, .mayBeKept = grant && request.prefix == 0 && !longWork});
    return Slot{.upstream = slots.upstream.name, .grant = m_lastSlot};
}

void GrantPool::release(const Slot &slot, TimePoint now)
{
    const auto found = m_inUse.find(slot.grant);
    if (found == m_inUse.end()) {
        return;
    }
    UpstreamSlots &slots = m_upstreams[found->second.upstream];
    --slots.running;
    slots.longRunning -= found->second.isLong ? 1 : 0;
    slots.tokens -= found->second.tokens;
    Cell &cell = m_cells[slots.cell];
    const InUse used = found->second;
    m_inUse.erase(found);
    // Only what a scheduler granted can be kept: it counts as held there. An upstream that left or refused gets nothing more.
    if (!used.mayBeKept || cell.keep == Duration::zero() || !slots.declared || slots.unreachableUntil > now) {
        cell.heldChanged = true;
        return;
    }
    ++slots.unused;
    cell.unused.push_back(HeldGrant{.upstream = used.upstream, .expiry = now + cell.keep, .perToken = used.perToken, .kept = true});
}

void GrantPool::recordUnreachable(const UpstreamName &upstream, TimePoint now)
{
    const auto found = m_upstreamIndex.find(upstream);
    if (found == m_upstreamIndex.end()) {
        return;
    }
    m_upstreams[found->second].unreachableUntil = now + Unreachable;
    m_cells[m_upstreams[found->second].cell].heldChanged = true;
}

bool GrantPool::exhausted(TimePoint now) const
{
    return std::ranges::none_of(m_cells, [this, now](const Cell &cell) { return !cell.unused.empty() || fallback(cell, now); });
}

bool GrantPool::fallback(const Cell &cell, TimePoint now) const
{
    return cell.unansweredSince && now - *cell.unansweredSince >= FallbackAfter;
}

bool GrantPool::isFallback(const CellName &cell, TimePoint now) const
{
    const auto index = cellIndex(cell);
    return index && fallback(m_cells[*index], now);
}

/// Gives back grants that found no request here, and kept slots that have expired, or all of them.
void GrantPool::giveBack(Cell &cell, bool keptToo, TimePoint now)
{
    const std::size_t before = cell.unused.size();
    std::erase_if(cell.unused, [&](const HeldGrant &grant) {
        const UpstreamSlots &slots = m_upstreams[grant.upstream];
        if (grant.kept && !keptToo && grant.expiry > now && slots.declared && slots.unreachableUntil <= now) {
            return false;
        }
        --m_upstreams[grant.upstream].unused;
        return true;
    });
    cell.heldChanged = cell.heldChanged || cell.unused.size() != before;
}

/// Rendezvous hashing (Thaler, Ravishankar 1998): each VM finds the same home for a prefix, and a cell that comes or goes moves only
/// its own part.
std::uint32_t GrantPool::homeCell(const ServiceName &service, std::uint64_t prefix) const
{
    std::uint32_t home = 0;
    std::uint64_t highest = 0;
    for (std::uint32_t i = 0; i < m_cells.size(); ++i) {
        const std::uint64_t weight = mixed(prefix ^ checksum(m_cells[i].name.value)) | 1U;
        if (m_cells[i].service == service && weight > highest) {
            home = i;
            highest = weight;
        }
    }
    return home;
}

std::vector<DemandLine> GrantPool::lines(std::uint32_t cell, const PendingQueue &queue, const VersionName &serviceVersion, TimePoint now) const
{
    std::vector<DemandLine> found;
    for (const PendingRequest *request : queue.inOrder(4 * MaxLines)) {
        const std::uint64_t prefix = request->prefix != 0 ? request->prefix : checksum(request->id.value);
        if (now - request->arrival < SpreadAfter && homeCell(request->service, prefix) != cell) {
            continue;
        }
        const VersionName &version = request->version.value.empty() ? serviceVersion : request->version;
        const std::uint32_t key = demandKey(*request, version);
        const Duration untilDeadline = request->deadline - now;
        const auto like = std::ranges::find(found, key, &DemandLine::key);
        if (like != found.end()) {
            ++like->count;
            like->untilDeadline = std::min(like->untilDeadline, untilDeadline);
            continue;
        }
        if (found.size() == MaxLines) {
            break;
        }
        found.push_back(DemandLine{
            .tier = request->tier,
            .version = version,
            .organisation = request->organisation,
            .promptTokens = TokenCount{rounded(request->promptTokens.value)},
            .answerTokens = TokenCount{rounded(request->answerTokens.value)},
            .prefix = request->prefix,
            .count = 1,
            .untilDeadline = untilDeadline,
            .key = key,
        });
    }
    return found;
}

GrantReport GrantPool::report(const Cell &cell, std::uint32_t index, TimePoint now) const
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

bool GrantPool::isDue(const Cell &cell, std::uint32_t index, std::uint64_t linesNow, bool waits, TimePoint now) const
{
    const bool holds = std::ranges::any_of(m_upstreams, [index](const UpstreamSlots &slots) { return slots.cell == index && slots.running > 0; });
    const Duration quiet = now - cell.lastSent;
    const bool asks = linesNow != 0 && linesNow != cell.lastLines;
    if (asks || ((waits || holds) && quiet >= Heartbeat)) {
        return true;
    }
    return (cell.heldChanged || linesNow != cell.lastLines) && (cell.keep == Duration::zero() || quiet >= LazyReport);
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
        // Step 1. Grants that nobody here could use go back, for another VM may wait for them.
        giveBack(cell, cell.keep == Duration::zero(), now);
        // Step 2. Says what waits, when the scheduler does not know it yet.
        Demand demand{.cell = cell.name, .vm = m_vm, .lines = lines(i, queue, serviceVersion, now), .lowestWaiting = queue.lowestPendingTier()};
        demand.mustShed = mustShed == m_mustShed.end() ? std::nullopt : mustShed->second;
        constexpr std::uint64_t AfterRanks = 256;
        std::uint64_t linesNow
            = (demand.mustShed ? demand.mustShed->value + 1U : 0U) * AfterRanks + (demand.lowestWaiting ? demand.lowestWaiting->value + 1U : 0U);
        for (const DemandLine &line : demand.lines) {
            linesNow = mixed(linesNow ^ line.key) + line.count;
        }
        if (!isDue(cell, i, linesNow, queue.size() > 0, now)) {
            continue;
        }
        demand.sequence = ++cell.sequence;
        cell.lastLines = linesNow;
        cell.lastSent = now;
        cell.heldChanged = false;
        if (!cell.unansweredSince) {
            cell.unansweredSince = now;
        }
        cell.sent.emplace_back(cell.sequence, now);
        if (cell.sent.size() > RememberedDemands) {
            cell.sent.pop_front();
        }
        GrantReport held = report(cell, i, now);
        due.push_back(CellMessages{.demand = std::move(demand), .report = std::move(held)});
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
        if (cell.service != service || now - cell.lastHeard >= FloorAge) {
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
        if (cell.service != service || now - cell.lastHeard >= FloorAge || !cell.refuseFrom) {
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

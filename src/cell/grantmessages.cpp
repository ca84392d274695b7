// GrantPool: the demands and reports that are sent to the schedulers.

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
/// Interval at which messages are sent at least, while the VM has waiting or running requests.
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
/// While requests of other VMs wait, freed slots are reported at once; otherwise they are reported together, at this interval.
constexpr Duration LazyReportInterval = std::chrono::milliseconds(200);

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

std::uint32_t demandKey(const PendingRequest &request, const VersionName &version)
{
    std::uint64_t key = mixBits(request.prefix + request.tier.value);
    key = mixBits(key ^ checksum(request.organisation.value));
    key = mixBits(key ^ checksum(version.value));
    key = mixBits(key + roundLength(request.promptTokens.value));
    key = mixBits(key + roundLength(request.answerTokens.value));
    return static_cast<std::uint32_t>(key);
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

}

#include "cell/cellscheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

/// The decisions of a scheduler step: which VMs get slots, which tiers are refused, and whether VMs may keep the slots of ended requests.
namespace cumindyke
{

namespace
{

/// Lifetime of a grant, from the time at which the demand that it answers was sent.
constexpr Duration GrantTimeout = std::chrono::milliseconds(500);
/// Time for which the scheduler counts an unacknowledged grant as in flight. Longer than the grant's lifetime, since it runs from the time at
/// which the grant was sent, and a request dispatched at the last moment takes time to appear in a report.
constexpr Duration UnacknowledgedTimeout = std::chrono::milliseconds(1500);
/// How long lower tiers stay refused after a VM had to shed a higher tier.
constexpr Duration RefusalDuration = std::chrono::milliseconds(500);
/// How long a tier counts as overloaded after one of its requests had to be shed.
constexpr Duration OverloadDuration = std::chrono::seconds(5);
/// Organisations whose served work differs by at most this many tokens count as equally served.
constexpr double FairnessToleranceTokens = 8000;
/// How long a VM may keep the slot of an ended request for its next request. At a steady load a VM then needs no message for a request.
constexpr Duration KeptSlotTimeout = std::chrono::milliseconds(500);

}

std::vector<std::pair<VmName, Grants>> CellScheduler::step(TimePoint now)
{
    // Step 1. Free the slots of expired VMs and grants.
    expireVms(now);
    expireUnacknowledged(now);
    updateRefusedTiers(now);
    // Step 2. Grant nothing until the entry VMs have reported. A new scheduler does not know the previous one's grants, so earlier grants could
    // overload the engines, whose queues have no priorities.
    if (waitsForReports(now)) {
        return {};
    }
    // Step 3. Grant slots tier by tier, the highest first. A lower tier gets the slots that no demand line of a higher tier could use.
    collectDemandLines();
    std::vector<std::vector<Grant>> grants(m_vms.size());
    for (std::size_t begin = 0; begin < m_waitingLines.size();) {
        std::size_t end = begin;
        while (end < m_waitingLines.size() && m_waitingLines[end]->tier == m_waitingLines[begin]->tier) {
            ++end;
        }
        grantTier(std::span(m_waitingLines).subspan(begin, end - begin), now, grants);
        begin = end;
    }
    // Step 4. Make the replies.
    updateSlotKeeping();
    std::vector<std::pair<VmName, Grants>> replies;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        if (grants[i].empty() && !m_vms[i].replyDue) {
            continue;
        }
        replies.emplace_back(m_vms[i].name, makeReply(m_vms[i], std::move(grants[i])));
    }
    return replies;
}

void CellScheduler::collectDemandLines()
{
    m_waitingLines.clear();
    for (Vm &vm : m_vms) {
        for (VmDemandLine &line : vm.lines) {
            if (line.count > 0) {
                m_waitingLines.push_back(&line);
            }
        }
    }
    std::ranges::sort(m_waitingLines, [](const VmDemandLine *left, const VmDemandLine *right) {
        return std::tie(left->tier, left->deadline, left->vm, left->key) < std::tie(right->tier, right->deadline, right->vm, right->key);
    });
    for (OrganisationShare &share : m_shares) {
        share.active = share.active && std::ranges::any_of(m_waitingLines, [&](const VmDemandLine *line) { return &m_shares[line->organisation] == &share; });
    }
    activateOrganisations(m_waitingLines);
}

/// Marks the organisations of the waiting lines as active. An organisation that becomes active starts at the least served work of the active
/// ones, so that it accrues no credit while idle.
void CellScheduler::activateOrganisations(std::span<VmDemandLine *const> lines)
{
    double leastServed = std::numeric_limits<double>::max();
    for (const OrganisationShare &share : m_shares) {
        leastServed = share.active ? std::min(leastServed, share.servedWork) : leastServed;
    }
    for (const VmDemandLine *line : lines) {
        OrganisationShare &share = m_shares[line->organisation];
        if (!share.active && leastServed < std::numeric_limits<double>::max()) {
            share.servedWork = std::max(share.servedWork, leastServed);
        }
    }
    for (const VmDemandLine *line : lines) {
        m_shares[line->organisation].active = true;
    }
}

void CellScheduler::grantTier(std::span<VmDemandLine *const> tier, TimePoint now, std::vector<std::vector<Grant>> &grants)
{
    std::vector<std::deque<VmDemandLine *>> waiting(m_organisations.size());
    for (VmDemandLine *line : tier) {
        waiting[line->organisation].push_back(line);
    }
    const auto overloadedUntil = m_overloadedUntil.find(tier.front()->tier);
    const bool shareFairly = m_options.fairByWork && overloadedUntil != m_overloadedUntil.end() && now < overloadedUntil->second;
    while (const auto organisation = nextOrganisation(waiting, shareFairly)) {
        VmDemandLine &line = *waiting[*organisation].front();
        const bool granted = grantLine(line, now, grants[line.vm]);
        if (granted) {
            m_shares[*organisation].servedWork += (line.prompt.value + line.answer.value) / m_shares[*organisation].weight;
        }
        if (!granted || line.count == 0) {
            waiting[*organisation].pop_front();
        }
    }
}

/// Returns the organisation whose first line has the earliest deadline. With fair sharing, only organisations whose served work is about equal
/// to the least served one's are considered. Sharing is fair only under overload: otherwise the requests of a busy organisation would wait
/// almost until their deadlines although all requests could be served.
std::optional<std::uint32_t> CellScheduler::nextOrganisation(const std::vector<std::deque<VmDemandLine *>> &waiting, bool shareFairly) const
{
    double leastServed = std::numeric_limits<double>::max();
    for (std::uint32_t i = 0; i < waiting.size(); ++i) {
        leastServed = waiting[i].empty() ? leastServed : std::min(leastServed, m_shares[i].servedWork);
    }
    std::optional<std::uint32_t> next;
    for (std::uint32_t i = 0; i < waiting.size(); ++i) {
        if (waiting[i].empty() || (shareFairly && m_shares[i].servedWork > leastServed + FairnessToleranceTokens)) {
            continue;
        }
        if (!next || waiting[i].front()->deadline < waiting[*next].front()->deadline) {
            next = i;
        }
    }
    return next;
}

bool CellScheduler::grantLine(VmDemandLine &line, TimePoint now, std::vector<Grant> &grants)
{
    const bool isLongWork = isLong(line.prompt, line.answer);
    const PrefixIndex::Mask cachedOn = line.prefix == 0 ? 0 : m_prefixes.holders(line.prefix);
    const PlacementRequest request{
        .version = line.version,
        .prompt = line.prompt,
        .answer = line.answer,
        .isLong = isLongWork,
        .cachedOn = cachedOn,
        .deadline = line.deadline,
    };
    const auto chosen = choosePlacement(m_upstreamStates, request, m_options.placement, now);
    if (!chosen) {
        return false;
    }
    UpstreamState &upstream = m_upstreamStates[*chosen];
    const bool cached = *chosen < PrefixIndex::MaxUpstreams && (cachedOn >> *chosen & 1U) != 0;
    upstream.addBacklog(line.prompt.value * (cached ? 0.5 : 1.0), now);
    ++upstream.inFlight;
    upstream.longInFlight += isLongWork ? 1 : 0;
    m_prefixes.recordStored(line.prefix, *chosen);
    --line.count;
    Vm &vm = m_vms[line.vm];
    vm.unacknowledged.push_back(
        UnacknowledgedGrant{.number = vm.grantsSent + 1, .upstream = *chosen, .key = line.key, .isLong = isLongWork, .expiry = now + UnacknowledgedTimeout});
    grants.push_back(Grant{
        .upstream = m_declaredUpstreams[*chosen].name,
        .version = m_declaredUpstreams[*chosen].version,
        .slots = 1,
        .tier = line.tier,
        .lifetime = GrantTimeout,
        .key = line.key,
        .perToken = Duration(upstream.speedMeasured ? static_cast<Duration::rep>(upstream.tokenMicroseconds) : 0),
    });
    return true;
}

/// Updates the lowest tier that waits on any VM, and the tiers to be refused. When a VM must shed requests of a tier, all lower tiers are first
/// refused on all VMs: the VM sheds only after a reply shows that no lower tier waits.
void CellScheduler::updateRefusedTiers(TimePoint now)
{
    m_lowestWaiting.reset();
    const std::optional<TierRank> previousRefuseFrom = m_refuseFrom;
    std::optional<TierRank> mustShed;
    for (const Vm &vm : m_vms) {
        if (vm.lowestWaiting && (!m_lowestWaiting || *vm.lowestWaiting > *m_lowestWaiting)) {
            m_lowestWaiting = vm.lowestWaiting;
        }
        if (!vm.mustShed) {
            continue;
        }
        m_overloadedUntil[*vm.mustShed] = now + OverloadDuration;
        mustShed = mustShed ? std::min(*mustShed, *vm.mustShed) : vm.mustShed;
    }
    if (mustShed) {
        m_refuseFrom = TierRank{static_cast<std::uint8_t>(mustShed->value + 1)};
        m_refuseUntil = now + RefusalDuration;
    } else if (now >= m_refuseUntil) {
        m_refuseFrom.reset();
    }
    if (m_refuseFrom == previousRefuseFrom) {
        return;
    }
    // All VMs get a reply at once: on a VM that still admits lower tiers, these would wait while another VM sheds a higher tier.
    for (Vm &vm : m_vms) {
        vm.replyDue = true;
    }
}

/// Updates whether VMs may keep the slots of ended requests: while every demand line has been granted in full. When that ends, each VM that
/// holds slots gets a reply and must return its kept slots, so that a kept slot delays urgent work of another VM by at most two messages.
void CellScheduler::updateSlotKeeping()
{
    const bool couldKeepSlots
        = std::exchange(m_mayKeepSlots, m_options.keepSlots && std::ranges::all_of(m_waitingLines, [](const VmDemandLine *line) { return line->count == 0; }));
    if (!couldKeepSlots || m_mayKeepSlots) {
        return;
    }
    for (Vm &vm : m_vms) {
        vm.replyDue = vm.replyDue || !vm.reportedInFlight.empty() || !vm.unacknowledged.empty();
    }
}

Grants CellScheduler::makeReply(Vm &vm, std::vector<Grant> grants) const
{
    vm.replyDue = false;
    double fastestTokenTime = std::numeric_limits<double>::max();
    for (const UpstreamState &upstream : m_upstreamStates) {
        fastestTokenTime = upstream.usable && upstream.speedMeasured ? std::min(fastestTokenTime, upstream.tokenMicroseconds) : fastestTokenTime;
    }
    fastestTokenTime = fastestTokenTime == std::numeric_limits<double>::max() ? 0 : fastestTokenTime;
    return Grants{
        .cell = m_options.cell,
        .epoch = m_options.epoch,
        .sequence = vm.demandSequence,
        .number = ++vm.grantsSent,
        .grants = std::move(grants),
        .lowestWaiting = m_lowestWaiting,
        .refuseFrom = m_refuseFrom,
        .perToken = Duration(static_cast<Duration::rep>(fastestTokenTime)),
        .perPrefillToken = std::chrono::nanoseconds(static_cast<std::int64_t>(fastestTokenTime * 1000 / PrefillTokensPerToken)),
        .keepDuration = m_mayKeepSlots ? KeptSlotTimeout : Duration::zero(),
    };
}

}

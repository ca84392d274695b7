#include "cell/cellscheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

/// What a step of the scheduler decides: who gets slots, what is refused, and who may keep ended slots.
namespace cumindyke
{

namespace
{

/// A grant is dead this long after the demand it answers was sent.
constexpr Duration GrantExpiry = std::chrono::milliseconds(500);
/// The scheduler counts a grant as held for longer: it counts from when it sent it, and a dispatch at the last moment takes time to show.
constexpr Duration UnseenExpiry = std::chrono::milliseconds(1500);
/// How long lower tiers stay refused after a VM had to shed a higher one.
constexpr Duration RefuseHold = std::chrono::milliseconds(500);
/// How long a tier counts as overloaded after a request of it had to be shed.
constexpr Duration FairHold = std::chrono::seconds(5);
/// Organisations whose served work differs by less than this many tokens count as even.
constexpr double EvenWork = 8000;
/// An ended slot may stay with its VM this long for the next request. At a steady load a VM then needs no message for a request.
constexpr Duration KeepSlots = std::chrono::milliseconds(500);

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
    m_prefixes.recordStored(line.prefix, *chosen);
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
        .perToken = Duration(upstream.speedMeasured ? static_cast<Duration::rep>(upstream.tokenMicroseconds) : 0),
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
        token = upstream.usable && upstream.speedMeasured ? std::min(token, upstream.tokenMicroseconds) : token;
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

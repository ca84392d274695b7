#include "control/fleettally.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

namespace
{

/// As long as a VM may admit work after its last beat: until then its requests in flight and its demand count.
constexpr Duration HeardLately = std::chrono::seconds(4);
/// Demand is averaged over this long: a few requests of each organisation, and short enough to follow a burst.
/// What VMs admit before they hear of a jump in demand was up to two seconds of the rate in measured bursts; forgiving all of it broke a
/// limit with a tenth and 190,000 tokens of slack by 2 in 100.
constexpr double MostDebtSeconds = 0.25;
constexpr Duration DemandWindow = std::chrono::seconds(2);

v1::VersionCounts growth(const v1::VersionCounts &now, const v1::VersionCounts &before)
{
    v1::VersionCounts grown = now;
    grown.set_sent(now.sent() - before.sent());
    grown.set_good(now.good() - before.good());
    grown.set_bad(now.bad() - before.bad());
    grown.set_head_ms(now.head_ms() - before.head_ms());
    grown.set_heads(now.heads() - before.heads());
    return grown;
}

void add(v1::VersionCounts &total, const v1::VersionCounts &more)
{
    total.set_service(more.service());
    total.set_version(more.version());
    total.set_sent(total.sent() + more.sent());
    total.set_good(total.good() + more.good());
    total.set_bad(total.bad() + more.bad());
    total.set_head_ms(total.head_ms() + more.head_ms());
    total.set_heads(total.heads() + more.heads());
}

}

void LimitBucket::advance(const v1::RoutedOrganisation &limit, std::uint64_t tolerance, std::uint64_t admitted, TimePoint now)
{
    const auto most = static_cast<double>(limit.burst() + tolerance);
    // A new leader does not know what was admitted just before. It begins with half of the burst, which may be spent twice then; with less,
    // callers near their limit would be refused for seconds after each change of leaders and after a start.
    const double before = m_filled ? m_level : static_cast<double>(tolerance) + static_cast<double>(limit.burst()) / 2;
    const double seconds = m_filled ? std::chrono::duration<double>(now - *m_filled).count() : 0;
    m_filled = now;
    const double filled = std::min(most, before + seconds * static_cast<double>(limit.rate_per_s()));
    // A larger debt is forgiven: callers below the limit would pay for seconds for what others were given by mistake.
    const double mostDebt = static_cast<double>(tolerance) + MostDebtSeconds * static_cast<double>(limit.rate_per_s());
    m_level = std::max(filled - static_cast<double>(admitted), -mostDebt);
}

void FleetTallies::take(const VmName &vm, std::uint64_t incarnation, const v1::EntryTally &tally, TimePoint now)
{
    const bool isNew = !m_vms.contains(vm);
    Vm &known = m_vms[vm];
    if (isNew) {
        // What it counted before belongs to another leader's time: a new leader that took it for the present would find every limit spent.
        known.incarnation = incarnation;
        remember(known, tally);
    } else if (known.incarnation != incarnation) {
        // Its counts begin at zero again; what the process before it had counted is in the totals.
        known = Vm{.incarnation = incarnation};
    }
    known.dataCentre = tally.data_centre();
    known.draining = tally.draining();
    grow(known, tally);
    known.heard = now;
    std::map<std::string, std::uint64_t> asked;
    for (const v1::OrganisationDemand &demand : tally.demands()) {
        asked[demand.organisation()] = demand.asked();
    }
    known.demands.emplace_back(now, std::move(asked));
    while (known.demands.size() > 2 && known.demands[1].first + DemandWindow <= now) {
        known.demands.pop_front();
    }
}

void FleetTallies::remember(Vm &vm, const v1::EntryTally &tally)
{
    for (const v1::VersionCounts &counts : tally.versions()) {
        vm.counts[{counts.service(), counts.version()}] = counts;
    }
    for (const v1::OrganisationDemand &demand : tally.demands()) {
        vm.admitted[demand.organisation()] = demand.admitted();
    }
}

void FleetTallies::grow(Vm &vm, const v1::EntryTally &tally)
{
    for (const v1::VersionCounts &counts : tally.versions()) {
        const VersionKey key{counts.service(), counts.version()};
        add(m_totals[key], growth(counts, vm.counts[key]));
    }
    for (const v1::OrganisationDemand &demand : tally.demands()) {
        m_admitted[demand.organisation()] += demand.admitted() - vm.admitted[demand.organisation()];
    }
    remember(vm, tally);
}

std::map<std::string, double> FleetTallies::askedPerSecond(TimePoint now) const
{
    std::map<std::string, double> perSecond;
    for (const auto &[name, vm] : m_vms) {
        const auto &[since, first] = vm.demands.front();
        const double seconds = std::chrono::duration<double>(vm.demands.back().first - since).count();
        if (now - vm.heard > HeardLately || seconds <= 0) {
            continue;
        }
        for (const auto &[organisation, asked] : vm.demands.back().second) {
            const auto before = first.find(organisation);
            perSecond[organisation] += static_cast<double>(asked - (before == first.end() ? 0 : before->second)) / seconds;
        }
    }
    return perSecond;
}

v1::FleetTally FleetTallies::fleet(const v1::RouteTable &routes, std::uint64_t tolerance, TimePoint now)
{
    v1::FleetTally fleet;
    for (const auto &[name, vm] : m_vms) {
        if (now - vm.heard > HeardLately) {
            continue;
        }
        fleet.add_entry_vms(name.value);
        if (!vm.draining) {
            v1::PlacementVm &placement = *fleet.add_placement_vms();
            placement.set_vm(name.value);
            placement.set_data_centre(vm.dataCentre);
        }
    }
    std::map<std::string, double> perSecond = askedPerSecond(now);
    for (const v1::RoutedOrganisation &organisation : routes.organisations()) {
        if (organisation.rate_per_s() == 0) {
            continue;
        }
        LimitBucket &bucket = m_buckets[organisation.name()];
        bucket.advance(organisation, tolerance, std::exchange(m_admitted[organisation.name()], 0), now);
        v1::OrganisationLevel &level = *fleet.add_levels();
        level.set_organisation(organisation.name());
        level.set_level(static_cast<std::int64_t>(bucket.level()));
        level.set_asked_per_s(static_cast<std::uint64_t>(perSecond[organisation.name()]));
    }
    return fleet;
}

std::map<std::string, v1::VersionCounts> FleetTallies::versionsSince(const std::string &service, const std::string &mark)
{
    const bool isNew = !m_marks.contains(mark);
    auto &base = m_marks[mark];
    std::map<std::string, v1::VersionCounts> grown;
    for (const auto &[key, total] : m_totals) {
        if (key.first != service) {
            continue;
        }
        if (isNew) {
            base[key.second] = total;
        }
        grown[key.second] = growth(total, base[key.second]);
    }
    return grown;
}

}

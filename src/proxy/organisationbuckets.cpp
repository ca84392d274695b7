#include "proxy/organisationbuckets.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// The VM's own demand is averaged over this long, like the leader's.
constexpr Duration MeasureInterval = std::chrono::seconds(1);
/// Everybody counts as asking for this part of the whole besides, so that a VM's first requests find something.
constexpr double EvenPart = 0.1;
/// A bucket holds at least this long of the part's rate, so that requests larger than the part's burst pass at all.
constexpr double LeastDepthSeconds = 1.0;

}

void OrganisationBuckets::takeFleet(const v1::FleetTally &fleet, TimePoint now)
{
    m_entries = std::max<std::uint32_t>(1, fleet.entries());
    for (const v1::OrganisationDemand &demand : fleet.demand_per_s()) {
        m_buckets[demand.organisation()].fleetPerSecond = static_cast<double>(demand.asked());
    }
    const Duration passed = now - m_measured;
    if (passed < MeasureInterval) {
        return;
    }
    const double seconds = std::chrono::duration<double>(passed).count();
    const bool first = m_measured == TimePoint{};
    m_measured = now;
    for (auto &[name, bucket] : m_buckets) {
        bucket.ownPerSecond = first ? 0 : static_cast<double>(bucket.asked - bucket.askedBefore) / seconds;
        bucket.askedBefore = bucket.asked;
    }
}

double OrganisationBuckets::partOf(const Bucket &bucket) const
{
    const double even = 1.0 / m_entries;
    const double whole = std::max(bucket.fleetPerSecond, bucket.ownPerSecond);
    const double byDemand = whole <= 0 ? even : bucket.ownPerSecond / whole;
    return std::min(1.0, EvenPart * even + (1 - EvenPart) * byDemand);
}

std::optional<Duration> OrganisationBuckets::take(const v1::RoutedOrganisation &organisation, std::uint64_t cost, TimePoint now)
{
    Bucket &bucket = m_buckets[organisation.name()];
    bucket.asked += cost;
    if (organisation.rate_per_s() == 0) {
        return {};
    }
    const double part = partOf(bucket);
    const double rate = std::max(1.0, part * static_cast<double>(organisation.rate_per_s()));
    const double depth = std::max(part * static_cast<double>(organisation.burst()), rate * LeastDepthSeconds);
    if (!bucket.used) {
        bucket.used = true;
        bucket.tokens = depth;
    } else {
        bucket.tokens = std::min(depth, bucket.tokens + rate * std::chrono::duration<double>(now - bucket.filled).count());
    }
    bucket.filled = now;
    // A request over the whole depth would never pass: it may take the bucket into debt, which later requests pay.
    const double needed = std::min(static_cast<double>(cost), depth);
    if (bucket.tokens < needed) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((needed - bucket.tokens) / rate));
    }
    bucket.tokens -= static_cast<double>(cost);
    return {};
}

void OrganisationBuckets::fillTally(v1::EntryTally &tally) const
{
    for (const auto &[name, bucket] : m_buckets) {
        v1::OrganisationDemand &demand = *tally.add_demands();
        demand.set_organisation(name);
        demand.set_asked(bucket.asked);
    }
}

}

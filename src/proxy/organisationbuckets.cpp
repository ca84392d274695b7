#include "proxy/organisationbuckets.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// The VM's own demand is averaged over this long, like the leader's.
constexpr Duration MeasureInterval = std::chrono::seconds(2);
/// Every VM counts as asking for this part of the whole besides, so that a VM's first requests find something.
constexpr double EvenPart = 0.1;
/// Even parts of a high level that one VM may take before the others hear of it: all together overdraw it once at most.
constexpr double MostParts = 1.5;
/// The leader's level is this old when it comes: half of the interval of the tallies.
constexpr double LevelAgeSeconds = 0.25;
/// Longer than a lease: nothing is admitted on an older level.
constexpr std::size_t MostTalliesKept = 16;
/// Callers come back at least this much later, so that the level has changed.
constexpr Duration ShortestWait = std::chrono::milliseconds(100);
constexpr Duration LongestWait = std::chrono::seconds(5);
constexpr std::chrono::duration<double> WaitPerOverload{0.1};

}

void OrganisationBuckets::takeFleet(const v1::FleetTally &fleet, TimePoint now)
{
    m_entries = static_cast<std::uint32_t>(std::max(1, fleet.entry_vms_size()));
    for (const v1::OrganisationLevel &level : fleet.levels()) {
        Bucket &bucket = m_buckets[level.organisation()];
        bucket.level = static_cast<double>(level.level());
        bucket.levelAt = now;
        if (const auto counted = bucket.admittedAt.find(fleet.sequence()); counted != bucket.admittedAt.end()) {
            bucket.tallied = counted->second;
            bucket.admittedAt.erase(bucket.admittedAt.begin(), counted);
        }
        bucket.fleetPerSecond = static_cast<double>(level.asked_per_s());
    }
    if (m_measured && now - *m_measured < MeasureInterval) {
        return;
    }
    const double seconds = m_measured ? std::chrono::duration<double>(now - *m_measured).count() : 0;
    m_measured = now;
    for (auto &[name, bucket] : m_buckets) {
        bucket.ownPerSecond = seconds > 0 ? static_cast<double>(bucket.asked - bucket.askedBefore) / seconds : 0;
        bucket.askedBefore = bucket.asked;
    }
}

double OrganisationBuckets::available(const Bucket &bucket, const v1::RoutedOrganisation &organisation, TimePoint now) const
{
    const double even = 1.0 / m_entries;
    const double rate = static_cast<double>(organisation.rate_per_s());
    // A limit that has just come has no level yet: half of its burst, which the leader knows the rest of within a beat.
    const double level = bucket.level.value_or(static_cast<double>(organisation.burst()) / 2);
    const double elapsed = bucket.level ? std::chrono::duration<double>(now - bucket.levelAt).count() : 0;
    const double filled = level + rate * elapsed;
    const double own = static_cast<double>(bucket.admitted - bucket.tallied);
    const double others = std::max(0.0, bucket.fleetPerSecond - bucket.ownPerSecond) * (elapsed + LevelAgeSeconds);
    const double whole = std::max(bucket.fleetPerSecond, bucket.ownPerSecond);
    const double part = std::min(1.0, EvenPart * even + (1 - EvenPart) * (whole > 0 ? bucket.ownPerSecond / whole : even));
    // When the demand jumps, nobody has heard of it yet and every VM believes that the level is its own: each takes a few parts of it at most.
    const double most = std::min(1.0, std::max(part, MostParts * even)) * filled;
    return std::max(std::min(filled - own - others, most - own), part * filled - own);
}

std::optional<Duration> OrganisationBuckets::take(const v1::RoutedOrganisation &organisation, std::uint64_t cost, TimePoint now)
{
    Bucket &bucket = m_buckets[organisation.name()];
    bucket.asked += cost;
    const double left = available(bucket, organisation, now);
    // A request may take the level below zero: one that is larger than the whole burst would never pass otherwise.
    if (organisation.rate_per_s() == 0 || left > 0) {
        bucket.admitted += cost;
        return {};
    }
    const double rate = static_cast<double>(organisation.rate_per_s());
    // While several times the limit is asked for, most of those that come back at once are refused again: they are sent away for longer.
    const double overload = std::max(0.0, bucket.fleetPerSecond / rate - 1);
    const std::chrono::duration<double> wait(-left / rate + overload * WaitPerOverload.count());
    return std::clamp(std::chrono::duration_cast<Duration>(wait), ShortestWait, LongestWait);
}

std::string OrganisationBuckets::inputs(const std::string &organisation, TimePoint now) const
{
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end()) {
        return "organisation=" + organisation;
    }
    const Bucket &bucket = found->second;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - bucket.levelAt);
    const auto whole = [](double value) { return std::to_string(static_cast<std::int64_t>(value)); };
    return "organisation=" + organisation + " level=" + (bucket.level ? whole(*bucket.level) : "none") + " level_age_ms=" + std::to_string(age.count())
        + " own_since=" + std::to_string(bucket.admitted - bucket.tallied) + " own_per_s=" + whole(bucket.ownPerSecond)
        + " fleet_per_s=" + whole(bucket.fleetPerSecond);
}

void OrganisationBuckets::fillTally(v1::EntryTally &tally)
{
    for (auto &[name, bucket] : m_buckets) {
        bucket.admittedAt[tally.sequence()] = bucket.admitted;
        if (bucket.admittedAt.size() > MostTalliesKept) {
            bucket.admittedAt.erase(bucket.admittedAt.begin());
        }
        v1::OrganisationDemand &demand = *tally.add_demands();
        demand.set_organisation(name);
        demand.set_asked(bucket.asked);
        demand.set_admitted(bucket.admitted);
    }
}

}

#include "placement/fleetlimits.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace cumindyke
{

namespace
{

/// A few requests of each organisation, and short enough to follow a burst.
constexpr std::chrono::duration<double> DemandWindow{2};
/// Callers come back at least this much later, so that the level has changed.
constexpr Duration ShortestWait = std::chrono::milliseconds(100);
constexpr Duration LongestWait = std::chrono::seconds(5);
/// While several times the limit is asked for, most of those that come back at once are refused again: they are sent away for longer.
constexpr std::chrono::duration<double> WaitPerOverload{0.1};
/// How much of the more urgent demand is left to it: what comes within the time that a refusal of it would last.
constexpr double ReserveSeconds = 0.2;
/// Of the tokens of a second.
constexpr double SmallPart = 0.01;
/// A server that begins knows nothing of what was admitted just before: half of the burst may be spent twice then. With less, callers near
/// their limit would be refused for seconds.
constexpr double FirstLevel = 0.5;
/// A larger debt is forgiven: callers below the limit would pay for seconds for what others were given by mistake. With a quarter of a second,
/// servers that heard of each other late gave out almost a quarter more than the limit in eight seconds.
constexpr double MostDebtSeconds = 1;

/// What was admitted is told again so often though it has not changed, for those that missed the notice of the change.
constexpr std::uint64_t NoticesBetweenSpends = 8;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

void FleetLimits::setRoutes(const v1::RouteTable &routes, TimePoint now)
{
    std::set<std::string> named;
    for (const v1::RoutedOrganisation &organisation : routes.organisations()) {
        named.insert(organisation.name());
        Bucket &bucket = m_buckets[organisation.name()];
        if (bucket.level) {
            fill(bucket, now);
        }
        bucket.rate = static_cast<double>(organisation.rate_per_s());
        bucket.burst = static_cast<double>(organisation.burst());
        if (bucket.level) {
            bucket.level = std::min(*bucket.level, bucket.burst + m_tolerance);
        }
    }
    std::erase_if(m_buckets, [&](const auto &held) { return !named.contains(held.first); });
}

void FleetLimits::setCoverage(double coverage, TimePoint now)
{
    const double next = std::clamp(coverage, 0.0, 1.0);
    // With nobody left to admit anything there is nothing to take from.
    if (next > 0 && m_coverage > 0 && next != m_coverage) {
        for (auto &[name, bucket] : m_buckets) {
            fill(bucket, now);
            yield(bucket, next);
        }
    }
    m_coverage = next;
}

/// What a smaller part takes with it comes back with a larger one. Only that is scaled, not what was spent: a server that begins with one entry VM of many
/// would count that VM's first request many times over.
void FleetLimits::yield(Bucket &bucket, double coverage) const
{
    if (coverage < m_coverage) {
        const double lost = std::max(0.0, *bucket.level) * (1 - coverage / m_coverage);
        *bucket.level -= lost;
        bucket.yielded += lost;
        return;
    }
    const double back = bucket.yielded * (coverage - m_coverage) / (1 - m_coverage);
    *bucket.level += back;
    bucket.yielded -= back;
}

void FleetLimits::fill(Bucket &bucket, TimePoint now) const
{
    if (!bucket.level) {
        const double whole = FirstLevel * bucket.burst + m_tolerance;
        bucket.level = m_coverage * whole;
        bucket.yielded = (1 - m_coverage) * whole;
        bucket.filledAt = now;
        return;
    }
    const double filled = *bucket.level + m_coverage * bucket.rate * seconds(now - bucket.filledAt);
    bucket.level = std::min(filled, bucket.burst + m_tolerance);
    bucket.filledAt = now;
}

void FleetLimits::charge(Bucket &bucket, std::int64_t cost)
{
    bucket.level = std::max(*bucket.level - static_cast<double>(cost), -MostDebtSeconds * bucket.rate);
}

void FleetLimits::Demand::add(double cost, TimePoint now)
{
    perSecond = value(now) + cost / DemandWindow.count();
    at = now;
}

double FleetLimits::Demand::value(TimePoint now) const
{
    return perSecond * std::exp(-seconds(now - at) / DemandWindow.count());
}

/// An organisation over its limit takes whatever comes in the moment it comes, so that urgent requests are refused for what routine ones have just taken.
/// What more urgent ones ask for in a moment is left to them. A request that is small beside the limit costs them nothing.
double FleetLimits::reserve(const Bucket &bucket, std::uint64_t cost, PriorityRank rank, TimePoint now) const
{
    const bool within = bucket.asked.value(now) <= m_coverage * bucket.rate;
    if (within || static_cast<double>(cost) < SmallPart * bucket.rate) {
        return 0;
    }
    double moreUrgent = 0;
    for (const auto &[other, demand] : bucket.askedByRank) {
        moreUrgent += other < rank ? demand.value(now) : 0;
    }
    return ReserveSeconds * moreUrgent;
}

std::optional<Duration> FleetLimits::take(const std::string &organisation, std::uint64_t cost, PriorityRank rank, TimePoint now)
{
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end() || found->second.rate == 0) {
        return {};
    }
    Bucket &bucket = found->second;
    fill(bucket, now);
    bucket.asked.add(static_cast<double>(cost), now);
    bucket.askedByRank[rank].add(static_cast<double>(cost), now);
    const double kept = reserve(bucket, cost, rank, now);
    // A request may take the level below zero: one that is larger than the whole burst would never pass otherwise.
    if (*bucket.level > kept) {
        bucket.admitted += static_cast<std::int64_t>(cost);
        m_spendsChanged = true;
        charge(bucket, static_cast<std::int64_t>(cost));
        return {};
    }
    const double share = std::max(m_coverage, 0.01) * bucket.rate;
    const double overload = std::max(0.0, bucket.asked.value(now) / share - 1);
    const std::chrono::duration<double> wait((kept - *bucket.level) / share + overload * WaitPerOverload.count());
    return std::clamp(std::chrono::duration_cast<Duration>(wait), ShortestWait, LongestWait);
}

void FleetLimits::giveBack(const std::string &organisation, std::uint64_t cost)
{
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end() || !found->second.level) {
        return;
    }
    found->second.admitted -= static_cast<std::int64_t>(cost);
    m_spendsChanged = true;
    *found->second.level += static_cast<double>(cost);
}

Duration FleetLimits::closedFor(const std::string &organisation) const
{
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end() || found->second.rate == 0 || found->second.level.value_or(1) > 0) {
        return Duration::zero();
    }
    // At the whole rate, since another server may hear of more VMs than this one.
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-*found->second.level / found->second.rate));
}

std::string FleetLimits::inputs(const std::string &organisation) const
{
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end()) {
        return "organisation=" + organisation;
    }
    const Bucket &bucket = found->second;
    const auto whole = [](double value) { return std::to_string(static_cast<std::int64_t>(value)); };
    return "organisation=" + organisation + " level=" + whole(bucket.level.value_or(0)) + " rate=" + whole(bucket.rate)
        + " asked_per_s=" + whole(bucket.asked.perSecond) + " coverage=" + std::to_string(m_coverage);
}

void FleetLimits::handleNotice(const VmName &from, const v1::LoadNotice &notice, bool adopt, TimePoint now)
{
    if (notice.spends().empty()) {
        return; // They are as they were told last.
    }
    Peer &peer = m_peers[from];
    // What a server counted before it was first heard of belongs to the time before. A process that restarted counts from zero again.
    const bool isNew = peer.incarnation == 0;
    const bool restarted = peer.incarnation != notice.incarnation();
    if (!restarted && notice.sequence() <= peer.sequence) {
        return;
    }
    const std::map<std::string, std::int64_t> before = restarted ? std::map<std::string, std::int64_t>() : std::exchange(peer.admitted, {});
    peer = Peer{.incarnation = notice.incarnation(), .sequence = notice.sequence(), .admitted = {}};
    for (const v1::OrganisationSpend &spend : notice.spends()) {
        peer.admitted[spend.organisation()] = spend.admitted();
        const auto found = m_buckets.find(spend.organisation());
        if (found == m_buckets.end()) {
            continue;
        }
        Bucket &bucket = found->second;
        if ((adopt || !bucket.level) && spend.has_level()) {
            bucket.level = static_cast<double>(spend.level());
            bucket.yielded = 0;
            bucket.filledAt = now;
        }
        if (adopt) {
            continue;
        }
        const auto known = before.find(spend.organisation());
        const std::int64_t counted = known == before.end() ? 0 : known->second;
        const std::int64_t grown = isNew ? 0 : spend.admitted() - counted;
        fill(bucket, now);
        charge(bucket, grown);
        bucket.asked.add(static_cast<double>(std::max<std::int64_t>(grown, 0)), now);
    }
}

void FleetLimits::writeNotice(v1::LoadNotice &notice, bool withLevels, TimePoint now)
{
    const bool due = std::exchange(m_spendsChanged, false) || withLevels || notice.sequence() % NoticesBetweenSpends == 0;
    if (!due) {
        return;
    }
    for (const auto &[name, bucket] : m_buckets) {
        if (bucket.rate == 0 || !bucket.level) {
            continue;
        }
        v1::OrganisationSpend &spend = *notice.add_spends();
        spend.set_organisation(name);
        spend.set_admitted(bucket.admitted);
        if (withLevels) {
            Bucket filled = bucket;
            fill(filled, now);
            spend.set_level(static_cast<std::int64_t>(*filled.level));
        }
    }
}

}

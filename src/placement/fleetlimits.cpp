#include "placement/fleetlimits.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace cumindyke
{

namespace
{

/// Spans a few requests of each organisation, yet is short enough to follow a burst.
constexpr std::chrono::duration<double> DemandWindow{2};
/// Under ranked limits what a rank demands has to be known before a burst is over; the reserve needs no exact value.
constexpr std::chrono::duration<double> RankDemandWindow{0.4};
/// Lets the bucket's level change before callers retry.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
/// Additional wait per multiple of the limit that is demanded: with a shorter wait most of the returning requests would be refused again.
constexpr std::chrono::duration<double> RetryAfterPerOverload{0.1};
/// Reserve for more urgent requests: what they demand within the time that a refusal of them would last.
constexpr double UrgentReserveSeconds = 0.2;
/// The same over all servers: in the 30 ms between two notices each of the others may spend what this one left. Tokens in the reserve are not lost, the level
/// is only higher by them.
constexpr double FleetReserveSeconds = 0.3;
/// Of its limit, what remains for a rank when more urgent ones demand all of it, for the time after which it may return.
constexpr double MinRemainingShare = 0.1;
/// A request is small if it costs less than this share of a second's rate; it need not leave a reserve.
constexpr double SmallRequestRatio = 0.01;
/// Under ranked limits it is small if it costs less than this share of a mean request of more urgent ranks. At a limit of some hundred thousand tokens a second
/// each prompt costs less than a hundredth of it, and at a low limit a plain request costs more.
constexpr double RankedSmallRequestRatio = 0.1;
/// A starting server does not know what was admitted just before, so up to half of the burst may be spent twice. With a lower initial level, callers
/// near their limit would be refused for seconds.
constexpr double InitialLevelRatio = 0.5;
/// A larger debt is forgiven: callers below the limit would pay for seconds for what others were admitted by mistake. With a quarter of a second,
/// servers whose notices arrived late admitted almost a quarter more than the limit over eight seconds.
constexpr double MaxDebtSeconds = 1;

/// Unchanged admissions are repeated after this many notices, for servers that missed the notice of the change.
constexpr std::uint64_t NoticesPerSpendRepeat = 8;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

void FleetLimits::setRoutes(const v1::RouteTable &routes, TimePoint now)
{
    std::set<std::string> configured;
    for (const v1::RoutedOrganisation &organisation : routes.organisations()) {
        configured.insert(organisation.name());
        Bucket &bucket = m_buckets[organisation.name()];
        if (bucket.level) {
            refill(bucket, now);
        }
        bucket.rate = static_cast<double>(organisation.rate_per_s());
        bucket.burst = static_cast<double>(organisation.burst());
        if (bucket.level) {
            bucket.level = std::min(*bucket.level, bucket.burst + m_tolerance);
        }
    }
    std::erase_if(m_buckets, [&](const auto &entry) { return !configured.contains(entry.first); });
}

void FleetLimits::setCoverage(double coverage, TimePoint now)
{
    const double next = std::clamp(coverage, 0.0, 1.0);
    // With a coverage of 0 there is no level to scale.
    if (next > 0 && m_coverage > 0 && next != m_coverage) {
        for (auto &[name, bucket] : m_buckets) {
            refill(bucket, now);
            scaleToCoverage(bucket, next);
        }
    }
    m_coverage = next;
}

/// What a lower coverage withholds is restored when the coverage rises again. Only the remaining level is scaled, not what was spent: otherwise a
/// server that starts with one of many entry VMs would count that VM's first request many times over.
void FleetLimits::scaleToCoverage(Bucket &bucket, double coverage) const
{
    if (coverage < m_coverage) {
        const double removed = std::max(0.0, *bucket.level) * (1 - coverage / m_coverage);
        *bucket.level -= removed;
        bucket.withheld += removed;
        return;
    }
    const double restored = bucket.withheld * (coverage - m_coverage) / (1 - m_coverage);
    *bucket.level += restored;
    bucket.withheld -= restored;
}

void FleetLimits::refill(Bucket &bucket, TimePoint now) const
{
    if (!bucket.level) {
        const double initial = InitialLevelRatio * bucket.burst + m_tolerance;
        bucket.level = m_coverage * initial;
        bucket.withheld = (1 - m_coverage) * initial;
        bucket.refilledAt = now;
        return;
    }
    const double refilled = *bucket.level + m_coverage * bucket.rate * toSeconds(now - bucket.refilledAt);
    bucket.level = std::min(refilled, bucket.burst + m_tolerance);
    bucket.refilledAt = now;
}

void FleetLimits::charge(Bucket &bucket, std::int64_t cost)
{
    bucket.level = std::max(*bucket.level - static_cast<double>(cost), -MaxDebtSeconds * bucket.rate);
}

void FleetLimits::DecayingRate::record(double cost, std::chrono::duration<double> window, TimePoint now)
{
    ratePerSecond = currentRate(window, now) + cost / window.count();
    updatedAt = now;
}

double FleetLimits::DecayingRate::currentRate(std::chrono::duration<double> window, TimePoint now) const
{
    return ratePerSecond * std::exp(-toSeconds(now - updatedAt) / window.count());
}

/// An organisation over its limit spends tokens the moment they arrive, so urgent requests would be refused because routine ones have just spent the
/// tokens. Leaves the short-term demand of more urgent ranks to them. A request that is small compared with the limit need not leave a reserve.
double FleetLimits::reserveForUrgent(const Bucket &bucket, std::uint64_t cost, PriorityRank rank, TimePoint now) const
{
    // What other servers refuse is not known, so their admissions alone may look like a demand below the limit.
    const PriorityRank leastUrgent{std::numeric_limits<std::uint32_t>::max()};
    const double demand = std::max(bucket.demand.currentRate(DemandWindow, now), m_isRanked ? urgentRate(bucket, leastUrgent, now) : 0);
    const bool isWithinLimit = demand <= m_coverage * bucket.rate;
    if (isWithinLimit || isSmall(bucket, cost, rank, now)) {
        return 0;
    }
    return (m_isRanked ? FleetReserveSeconds : UrgentReserveSeconds) * urgentRate(bucket, rank, now);
}

bool FleetLimits::isSmall(const Bucket &bucket, std::uint64_t cost, PriorityRank rank, TimePoint now) const
{
    if (!m_isRanked) {
        return static_cast<double>(cost) < SmallRequestRatio * bucket.rate;
    }
    double requests = 0;
    for (const auto &[other, arrivals] : bucket.requestsByRank) {
        requests += other < rank ? arrivals.currentRate(RankDemandWindow, now) : 0;
    }
    const double demanded = urgentRate(bucket, rank, now) * m_ownShare / std::max(m_coverage, m_ownShare);
    return requests <= 0 || static_cast<double>(cost) < RankedSmallRequestRatio * demanded / requests;
}

/// What requests of more urgent ranks demand per second. Servers do not tell each other their demand by rank, so that of all is estimated from that of the
/// entry VMs here.
double FleetLimits::urgentRate(const Bucket &bucket, PriorityRank rank, TimePoint now) const
{
    double rate = 0;
    for (const auto &[other, demand] : bucket.demandByRank) {
        rate += other < rank ? demand.currentRate(m_isRanked ? RankDemandWindow : DemandWindow, now) : 0;
    }
    return m_isRanked ? rate * m_coverage / m_ownShare : rate;
}

/// The time after which a similar request is likely to be admitted.
Duration FleetLimits::retryAfter(const Bucket &bucket, double reserved, PriorityRank rank, TimePoint now) const
{
    const double share = std::max(m_coverage, 0.01) * bucket.rate;
    const double overload = std::max(0.0, bucket.demand.currentRate(DemandWindow, now) / share - 1);
    const double refilled = m_isRanked ? std::max(share - urgentRate(bucket, rank, now), MinRemainingShare * share) : share;
    const std::chrono::duration<double> wait((reserved - *bucket.level) / refilled + overload * RetryAfterPerOverload.count());
    return std::clamp(std::chrono::duration_cast<Duration>(wait), MinRetryAfter, MaxRetryAfter);
}

std::optional<Duration> FleetLimits::tryAdmit(const std::string &organisation, std::uint64_t cost, PriorityRank rank, TimePoint now)
{
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end() || found->second.rate == 0) {
        return {};
    }
    Bucket &bucket = found->second;
    refill(bucket, now);
    bucket.demand.record(static_cast<double>(cost), DemandWindow, now);
    bucket.demandByRank[rank].record(static_cast<double>(cost), m_isRanked ? RankDemandWindow : DemandWindow, now);
    if (m_isRanked) {
        bucket.requestsByRank[rank].record(1, RankDemandWindow, now);
    }
    const double reserved = reserveForUrgent(bucket, cost, rank, now);
    // A request may take the level below zero: a request larger than the whole burst could never pass otherwise.
    if (*bucket.level > reserved) {
        bucket.admitted += static_cast<std::int64_t>(cost);
        m_spendsChangedSinceNotice = true;
        charge(bucket, static_cast<std::int64_t>(cost));
        return {};
    }
    return retryAfter(bucket, reserved, rank, now);
}

void FleetLimits::refund(const std::string &organisation, std::uint64_t cost)
{
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end() || !found->second.level) {
        return;
    }
    found->second.admitted -= static_cast<std::int64_t>(cost);
    m_spendsChangedSinceNotice = true;
    *found->second.level += static_cast<double>(cost);
}

Duration FleetLimits::timeUntilOpen(const std::string &organisation) const
{
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end() || found->second.rate == 0 || found->second.level.value_or(1) > 0) {
        return Duration::zero();
    }
    // Uses the whole rate, since another server may cover more VMs than this one.
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-*found->second.level / found->second.rate));
}

std::string FleetLimits::describeDecision(const std::string &organisation) const
{
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end()) {
        return "organisation=" + organisation;
    }
    const Bucket &bucket = found->second;
    const auto wholeNumber = [](double number) { return std::to_string(static_cast<std::int64_t>(number)); };
    return "organisation=" + organisation + " level=" + wholeNumber(bucket.level.value_or(0)) + " rate=" + wholeNumber(bucket.rate)
        + " asked_per_s=" + wholeNumber(bucket.demand.ratePerSecond) + " coverage=" + std::to_string(m_coverage);
}

void FleetLimits::handleNotice(const VmName &from, const v1::LoadNotice &notice, bool adoptLevels, TimePoint now)
{
    if (notice.spends().empty()) {
        return; // The admissions are unchanged since the last notice that listed them.
    }
    Peer &peer = m_peers[from];
    // What a server counted before its first notice arrived here belongs to the time before and is not charged. A restarted process counts from
    // zero again.
    const bool isFirstNotice = peer.incarnation == 0;
    const bool restarted = peer.incarnation != notice.incarnation();
    if (!restarted && notice.sequence() <= peer.sequence) {
        return;
    }
    const std::map<std::string, std::int64_t> admittedBefore = restarted ? std::map<std::string, std::int64_t>() : std::exchange(peer.admitted, {});
    peer = Peer{.incarnation = notice.incarnation(), .sequence = notice.sequence(), .admitted = {}};
    for (const v1::OrganisationSpend &spend : notice.spends()) {
        peer.admitted[spend.organisation()] = spend.admitted();
        const auto found = m_buckets.find(spend.organisation());
        if (found == m_buckets.end()) {
            continue;
        }
        Bucket &bucket = found->second;
        if ((adoptLevels || !bucket.level) && spend.has_level()) {
            bucket.level = static_cast<double>(spend.level());
            bucket.withheld = 0;
            bucket.refilledAt = now;
        }
        if (adoptLevels) {
            continue;
        }
        const auto previous = admittedBefore.find(spend.organisation());
        const std::int64_t admittedThen = previous == admittedBefore.end() ? 0 : previous->second;
        const std::int64_t newlyAdmitted = isFirstNotice ? 0 : spend.admitted() - admittedThen;
        refill(bucket, now);
        charge(bucket, newlyAdmitted);
        bucket.demand.record(static_cast<double>(std::max<std::int64_t>(newlyAdmitted, 0)), DemandWindow, now);
    }
}

void FleetLimits::writeNotice(v1::LoadNotice &notice, bool withLevels, TimePoint now)
{
    const bool isDue = std::exchange(m_spendsChangedSinceNotice, false) || withLevels || notice.sequence() % NoticesPerSpendRepeat == 0;
    if (!isDue) {
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
            Bucket refilled = bucket;
            refill(refilled, now);
            spend.set_level(static_cast<std::int64_t>(*refilled.level));
        }
    }
}

}

#include "report/burnseries.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr std::size_t MaxMinuteBuckets = 8 * 60;
constexpr std::size_t MaxHourBuckets = 31 * 24;

void addToBucket(std::deque<BurnBucket> &buckets, const BurnCountMap &counts, WallTime start, std::size_t maxBuckets)
{
    if (buckets.empty() || buckets.back().start < start) {
        buckets.push_back(BurnBucket{.start = start, .counts = {}});
    }
    // When the wall clock was set back, the counts go into the newest bucket instead of a new one in the past.
    for (const auto &[serviceTier, count] : counts) {
        buckets.back().counts[serviceTier] += count;
    }
    if (buckets.size() > maxBuckets) {
        buckets.pop_front();
    }
}

BurnCounts sumSince(const std::deque<BurnBucket> &buckets, const ServiceTier &serviceTier, WallTime since)
{
    BurnCounts sum;
    for (const BurnBucket &bucket : buckets) {
        const auto found = bucket.counts.find(serviceTier);
        if (bucket.start > since && found != bucket.counts.end()) {
            sum += found->second;
        }
    }
    return sum;
}

/// Returns the index of the first bound not below a time.
template<typename Bound>
std::size_t firstBoundAtLeast(Bound bound, Duration time)
{
    std::size_t k = 0;
    while (k + 1 < WaitBoundCount && bound(k) < time) {
        ++k;
    }
    return k;
}

const Objective *objectiveOf(const Declarations &declarations, const ServiceTier &serviceTier)
{
    const Service *service = declarations.service(serviceTier.first);
    if (!service) {
        return nullptr;
    }
    const auto found = std::ranges::find_if(service->objectives, [&](const Objective &objective) {
        const Tier *tier = declarations.tier(objective.tier);
        return tier && tier->rank == serviceTier.second;
    });
    return found == service->objectives.end() ? nullptr : &*found;
}

}

BurnCounts &BurnCounts::operator+=(const BurnCounts &other)
{
    onTime += other.onTime;
    late += other.late;
    failed += other.failed;
    refused += other.refused;
    unknown += other.unknown;
    sent += other.sent;
    firstTokenLate += other.firstTokenLate;
    tokensSlow += other.tokensSlow;
    return *this;
}

void BurnSeries::record(const BurnCountMap &counts, WallTime at)
{
    addToBucket(m_minutes, counts, WallTime{at.value - at.value % MinuteMs}, MaxMinuteBuckets);
    addToBucket(m_hours, counts, WallTime{at.value - at.value % HourMs}, MaxHourBuckets);
}

BurnCounts BurnSeries::sum(const ServiceTier &serviceTier, WallTime now, std::int64_t windowMs) const
{
    const bool isShort = windowMs <= static_cast<std::int64_t>(MaxMinuteBuckets) * MinuteMs;
    return sumSince(isShort ? m_minutes : m_hours, serviceTier, WallTime{now.value - windowMs});
}

void BurnSeries::restore(std::deque<BurnBucket> minutes, std::deque<BurnBucket> hours)
{
    m_minutes = std::move(minutes);
    m_hours = std::move(hours);
}

BurnCountMap aggregateBurnCounts(const OutcomeMap &growth, const Declarations &declarations)
{
    BurnCountMap sums;
    for (const auto &[key, counts] : growth) {
        const ServiceTier serviceTier{key.service, key.tier};
        BurnCounts &sum = sums[serviceTier];
        // Counts without a version are of requests as callers see them; counts with a version are of attempts.
        if (key.version.value.empty()) {
            sum += BurnCounts{.onTime = counts.onTime, .late = counts.late, .failed = counts.failed, .refused = counts.refused, .unknown = counts.unknown};
            continue;
        }
        sum.sent += counts.sent;
        if (const Objective *objective = objectiveOf(declarations, serviceTier)) {
            sum.firstTokenLate += counts.firstTokenOver.at(firstBoundAtLeast(firstTokenBound, objective->firstToken));
            sum.tokensSlow += counts.betweenTokensOver.at(firstBoundAtLeast(betweenTokensBound, objective->betweenTokens));
        }
    }
    return sums;
}

}

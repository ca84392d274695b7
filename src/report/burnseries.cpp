#include "report/burnseries.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr std::size_t MinutesKept = 8 * 60;
constexpr std::size_t HoursKept = 31 * 24;

void add(std::deque<BurnBucket> &buckets, const BurnCountMap &counts, WallTime start, std::size_t kept)
{
    if (buckets.empty() || buckets.back().start < start) {
        buckets.push_back(BurnBucket{.start = start, .counts = {}});
    }
    // A wall clock that was set back must not open a bucket in the past: the counts go into the newest one.
    for (const auto &[of, count] : counts) {
        buckets.back().counts[of] += count;
    }
    if (buckets.size() > kept) {
        buckets.pop_front();
    }
}

BurnCounts sumSince(const std::deque<BurnBucket> &buckets, const ServiceTier &of, WallTime since)
{
    BurnCounts sum;
    for (const BurnBucket &bucket : buckets) {
        const auto found = bucket.counts.find(of);
        if (bucket.start > since && found != bucket.counts.end()) {
            sum += found->second;
        }
    }
    return sum;
}

/// The first bound at or over a time.
template<typename Bound>
std::size_t boundAtLeast(Bound bound, Duration time)
{
    std::size_t k = 0;
    while (k + 1 < WaitBoundCount && bound(k) < time) {
        ++k;
    }
    return k;
}

const Objective *objectiveOf(const Declarations &declarations, const ServiceTier &of)
{
    const Service *service = declarations.service(of.first);
    if (!service) {
        return nullptr;
    }
    const auto found = std::ranges::find_if(service->objectives, [&](const Objective &objective) {
        const Tier *tier = declarations.tier(objective.tier);
        return tier && tier->rank == of.second;
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
    add(m_minutes, counts, WallTime{at.value - at.value % MinuteMs}, MinutesKept);
    add(m_hours, counts, WallTime{at.value - at.value % HourMs}, HoursKept);
}

BurnCounts BurnSeries::sum(const ServiceTier &of, WallTime now, std::int64_t lengthMs) const
{
    const bool isShort = lengthMs <= static_cast<std::int64_t>(MinutesKept) * MinuteMs;
    return sumSince(isShort ? m_minutes : m_hours, of, WallTime{now.value - lengthMs});
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
        const ServiceTier of{key.service, key.tier};
        BurnCounts &sum = sums[of];
        // Counts without a version are of requests as callers see them; those with one are of dispatches.
        if (key.version.value.empty()) {
            sum += BurnCounts{.onTime = counts.onTime, .late = counts.late, .failed = counts.failed, .refused = counts.refused, .unknown = counts.unknown};
            continue;
        }
        sum.sent += counts.sent;
        if (const Objective *objective = objectiveOf(declarations, of)) {
            sum.firstTokenLate += counts.firstTokenOver.at(boundAtLeast(firstTokenBound, objective->firstToken));
            sum.tokensSlow += counts.betweenTokensOver.at(boundAtLeast(betweenTokensBound, objective->betweenTokens));
        }
    }
    return sums;
}

}

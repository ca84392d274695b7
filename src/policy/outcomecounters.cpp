#include "policy/outcomecounters.h"

#include <cmath>
#include <utility>

namespace cumindyke
{

namespace
{

/// Returns bounds in half octaves, beginning at a first value.
std::array<Duration, WaitBoundCount> halfOctaveBounds(Duration first)
{
    std::array<Duration, WaitBoundCount> bounds{};
    for (std::size_t k = 0; k < bounds.size(); ++k) {
        bounds[k] = Duration(std::llround(static_cast<double>(first.count()) * std::exp2(static_cast<double>(k) / 2)));
    }
    return bounds;
}

}

Duration firstTokenBound(std::size_t k)
{
    static const std::array<Duration, WaitBoundCount> Bounds = halfOctaveBounds(std::chrono::milliseconds(20));
    return Bounds.at(k);
}

Duration betweenTokensBound(std::size_t k)
{
    static const std::array<Duration, WaitBoundCount> Bounds = halfOctaveBounds(std::chrono::milliseconds(1));
    return Bounds.at(k);
}

OutcomeCounts &OutcomeCounts::operator+=(const OutcomeCounts &other)
{
    sent += other.sent;
    onTime += other.onTime;
    late += other.late;
    failed += other.failed;
    refused += other.refused;
    unknown += other.unknown;
    for (std::size_t k = 0; k < WaitBoundCount; ++k) {
        firstTokenOver[k] += other.firstTokenOver[k];
        betweenTokensOver[k] += other.betweenTokensOver[k];
    }
    return *this;
}

OutcomeCounts OutcomeCounts::growthSince(const OutcomeCounts &earlierCounts) const
{
    OutcomeCounts growth = *this;
    growth.sent -= earlierCounts.sent;
    growth.onTime -= earlierCounts.onTime;
    growth.late -= earlierCounts.late;
    growth.failed -= earlierCounts.failed;
    growth.refused -= earlierCounts.refused;
    growth.unknown -= earlierCounts.unknown;
    for (std::size_t k = 0; k < WaitBoundCount; ++k) {
        growth.firstTokenOver[k] -= earlierCounts.firstTokenOver[k];
        growth.betweenTokensOver[k] -= earlierCounts.betweenTokensOver[k];
    }
    return growth;
}

void OutcomeCounters::sent(const OutcomeKey &key)
{
    ++m_counts[key].sent;
}

void OutcomeCounters::recordFirstTokenWait(const OutcomeKey &key, std::uint8_t &boundsExceeded, Duration waited)
{
    if (boundsExceeded >= WaitBoundCount || waited <= firstTokenBound(boundsExceeded)) {
        return;
    }
    OutcomeCounts &counts = m_counts[key];
    while (boundsExceeded < WaitBoundCount && waited > firstTokenBound(boundsExceeded)) {
        ++counts.firstTokenOver[boundsExceeded++];
    }
}

void OutcomeCounters::recordTokenInterval(const OutcomeKey &key, Duration mean)
{
    OutcomeCounts &counts = m_counts[key];
    for (std::size_t k = 0; k < WaitBoundCount && (k == 0 || mean > betweenTokensBound(k)); ++k) {
        ++counts.betweenTokensOver[k];
    }
}

void OutcomeCollector::take(const VmName &vm, const std::string &incarnation, std::uint64_t sequence, const OutcomeMap &counts)
{
    const auto found = m_lastReports.find(vm);
    if (found == m_lastReports.end()) {
        m_lastReports[vm] = LastReport{.incarnation = incarnation, .sequence = sequence, .counts = counts};
        return;
    }
    LastReport &lastReport = found->second;
    if (lastReport.incarnation == incarnation && sequence <= lastReport.sequence) {
        return;
    }
    if (lastReport.incarnation != incarnation) {
        lastReport.counts.clear();
    }
    for (const auto &[key, total] : counts) {
        const auto previous = lastReport.counts.find(key);
        m_growth[key] += previous == lastReport.counts.end() ? total : total.growthSince(previous->second);
    }
    lastReport = LastReport{.incarnation = incarnation, .sequence = sequence, .counts = counts};
}

OutcomeMap OutcomeCollector::takeGrowth()
{
    return std::exchange(m_growth, {});
}

}

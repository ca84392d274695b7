#include "policy/outcomecounters.h"

#include <cmath>
#include <utility>

namespace cumindyke
{

namespace
{

/// The bounds as a table: half octaves from a first value.
std::array<Duration, WaitBoundCount> halfOctavesFrom(Duration first)
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
    static const std::array<Duration, WaitBoundCount> Bounds = halfOctavesFrom(std::chrono::milliseconds(20));
    return Bounds.at(k);
}

Duration betweenTokensBound(std::size_t k)
{
    static const std::array<Duration, WaitBoundCount> Bounds = halfOctavesFrom(std::chrono::milliseconds(1));
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

OutcomeCounts OutcomeCounts::since(const OutcomeCounts &earlier) const
{
    OutcomeCounts growth = *this;
    growth.sent -= earlier.sent;
    growth.onTime -= earlier.onTime;
    growth.late -= earlier.late;
    growth.failed -= earlier.failed;
    growth.refused -= earlier.refused;
    growth.unknown -= earlier.unknown;
    for (std::size_t k = 0; k < WaitBoundCount; ++k) {
        growth.firstTokenOver[k] -= earlier.firstTokenOver[k];
        growth.betweenTokensOver[k] -= earlier.betweenTokensOver[k];
    }
    return growth;
}

void OutcomeCounters::sent(const OutcomeKey &key)
{
    ++m_counts[key].sent;
}

void OutcomeCounters::recordFirstTokenWait(const OutcomeKey &key, std::uint8_t &passed, Duration waited)
{
    if (passed >= WaitBoundCount || waited <= firstTokenBound(passed)) {
        return;
    }
    OutcomeCounts &counts = m_counts[key];
    while (passed < WaitBoundCount && waited > firstTokenBound(passed)) {
        ++counts.firstTokenOver[passed++];
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
    const auto found = m_reported.find(vm);
    if (found == m_reported.end()) {
        m_reported[vm] = Reported{.incarnation = incarnation, .sequence = sequence, .counts = counts};
        return;
    }
    Reported &last = found->second;
    if (last.incarnation == incarnation && sequence <= last.sequence) {
        return;
    }
    if (last.incarnation != incarnation) {
        last.counts.clear();
    }
    for (const auto &[key, total] : counts) {
        const auto before = last.counts.find(key);
        m_growth[key] += before == last.counts.end() ? total : total.since(before->second);
    }
    last = Reported{.incarnation = incarnation, .sequence = sequence, .counts = counts};
}

OutcomeMap OutcomeCollector::takeGrowth()
{
    return std::exchange(m_growth, {});
}

}

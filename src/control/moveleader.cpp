#include "control/moveleader.h"

#include "control/movecommands.h"
#include "report/burnwire.h"
#include "report/outcomereport.h"

#include <utility>

namespace cumindyke
{

namespace
{

v1::MoveVerdict toWire(const Move &move, const MoveDecision &decision)
{
    v1::MoveVerdict verdict;
    verdict.set_move(move.name.value);
    Move decided = move;
    decided.state = decision.state;
    verdict.set_state(cumindyke::toWire(decided).state());
    verdict.set_share_permille(decision.share.value);
    verdict.set_reason(decision.reason);
    return verdict;
}

}

void MoveLeader::recordOutcomes(const v1::OutcomeReport &report)
{
    m_collector.take(VmName{report.vm()}, report.incarnation(), report.sequence(), fromWire(report));
}

std::vector<v1::MoveVerdict> MoveLeader::advance(const StateMachine &state, WallTime now)
{
    const OutcomeMap growth = m_collector.takeGrowth();
    for (const auto &[of, counts] : aggregateBurnCounts(growth, state.declarations())) {
        m_minuteCounts[of] += counts;
    }
    std::erase_if(m_ramps, [&state](const auto &entry) { return !state.moves().contains(entry.first); });
    std::vector<v1::MoveVerdict> verdicts;
    for (const auto &[name, wire] : state.moves()) {
        const Move move = fromWire(wire);
        if (!move.isOpen()) {
            m_ramps.erase(name);
            continue;
        }
        auto ramp = m_ramps.find(name);
        if (ramp == m_ramps.end()) {
            ramp = m_ramps.emplace(name, MoveRamp(move, upstreamCount(state.declarations(), move.service, move.from), now)).first;
        }
        if (const auto decision = ramp->second.advance(move, compareVersions(growth, move.service, move.from, move.to), now)) {
            verdicts.push_back(toWire(move, *decision));
        }
    }
    return verdicts;
}

std::optional<v1::BurnBucket> MoveLeader::takeDueBurnBucket(WallTime now)
{
    if (now < m_minuteEnd) {
        return {};
    }
    const bool isFirst = m_minuteEnd == WallTime{};
    m_minuteEnd = WallTime{now.value - now.value % MinuteMs + MinuteMs};
    if (isFirst || m_minuteCounts.empty()) {
        return {};
    }
    return cumindyke::toWire(BurnBucket{.start = now, .counts = std::exchange(m_minuteCounts, {})});
}

void MoveLeader::reset()
{
    *this = MoveLeader();
}

std::string commandIdFor(const v1::MoveVerdict &verdict, const StateMachine &state)
{
    const auto move = state.moves().find(verdict.move());
    const std::string from = move == state.moves().end() ? "" : std::to_string(move->second.state()) + "/" + std::to_string(move->second.share_permille());
    return "move-verdict/" + verdict.move() + "/" + from + "/" + std::to_string(verdict.state()) + "/" + std::to_string(verdict.share_permille());
}

}

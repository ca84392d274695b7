#pragma once

#include "domain/move.h"
#include "policy/moveverdict.h"

#include <optional>
#include <string>

namespace cumindyke
{

/// The leader's decision on a move: another share, or the final state.
struct MoveDecision
{
    MoveState state = MoveState::Ramping;
    Permille share;
    std::string reason;
};

/// Controls one move from start to end. The new version's share grows in a few steps, which are scheduled backwards from the deadline; each
/// step requires evidence from the previous one. The move is rolled back when the verdict finds a fault at any step, or when there is too
/// little evidence by the deadline.
///
/// The object holds only the evidence since this leader took over; the move's state is in the replicated log. A new leader collects the
/// present step's evidence again, so a leader change costs time, never safety.
class MoveRamp
{
public:
    /// "oldUpstreams" is the number of upstreams of the declared version.
    MoveRamp(const Move &move, std::size_t oldUpstreams, WallTime now);

    /// Adds the outcomes since the last call, and returns the decision to propose, if any. The same decision may be returned again until
    /// "move" reflects it.
    std::optional<MoveDecision> advance(const Move &move, const Comparisons &comparisons, WallTime now);

    const MoveVerdict &verdict() const
    {
        return m_verdict;
    }
    /// Describes the evidence of the present step for operators: the number of the new version's answers.
    std::string evidenceSummary() const;

private:
    /// Number of answers of each version.
    struct Coverage
    {
        std::uint64_t newAnswers = 0;
        std::uint64_t oldAnswers = 0;
    };

    void startStep(const Move &move, WallTime now);
    void recordCoverage(const Comparisons &comparisons);
    bool hasEnoughEvidence() const;
    /// Describes for operators which evidence the present step lacks; empty when it has enough.
    std::string missingEvidence() const;
    std::optional<MoveDecision> nextStep(const Move &move, WallTime now) const;
    std::int64_t stepDuration(const Move &move) const;
    Permille firstShare() const;

    MoveVerdict m_verdict;
    std::size_t m_oldUpstreamCount;
    MoveState m_state;
    Permille m_share;
    WallTime m_stepStartedAt;
    std::uint64_t m_newAnswers = 0;
    std::map<std::string, Coverage> m_byRoute;
    std::map<std::uint8_t, Coverage> m_byLength;
    std::array<Coverage, 4> m_byLoad{};
};

/// Interval at which the leader evaluates open moves; the verdict's prior over starting times assumes it.
constexpr std::int64_t EvaluationIntervalMs = 250;
/// Minimum time from start to deadline; a move with a tighter deadline is rolled back at once.
constexpr std::int64_t MinMoveMs = 40'000;

}

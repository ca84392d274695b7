#pragma once

#include "domain/move.h"
#include "policy/moveverdict.h"

#include <optional>
#include <string>

namespace cumindyke
{

/// What the leader wants of a move: a share or an end.
struct MoveDecision
{
    MoveState state = MoveState::Ramping;
    Permille share;
    std::string reason;
};

/// Leads one move from its start to its end: the share grows in a few steps that are worked back from the deadline, each only on evidence
/// from the step before; the verdict takes the version back at any step; no evidence by the deadline takes it back too.
///
/// The object holds only what was seen since this leader took over; the state itself is in the log. A new leader begins the present
/// step's evidence anew, so a change of leaders costs time, never safety.
class MoveRamp
{
public:
    /// "upstreams": how many run the declared version.
    MoveRamp(const Move &move, std::size_t upstreams, WallTime now);

    /// Takes what was seen since the last call, and says what must change, if anything. The same decision may be given again until it
    /// shows in "move".
    std::optional<MoveDecision> advance(const Move &move, const Look &look, WallTime now);

    const MoveVerdict &verdict() const
    {
        return m_verdict;
    }
    /// Answers of the new version in the present step, and how many the step needs.
    std::string evidenceSummary() const;

private:
    struct Coverage
    {
        std::uint64_t newAnswers = 0;
        std::uint64_t oldAnswers = 0;
    };

    void beginStep(const Move &move, WallTime now);
    void count(const Look &look);
    bool coveredEnough() const;
    /// What is missing, for people; empty when covered.
    std::string missing() const;
    std::optional<MoveDecision> nextStep(const Move &move, WallTime now) const;
    std::int64_t stepLength(const Move &move) const;
    Permille firstShare() const;

    MoveVerdict m_verdict;
    std::size_t m_upstreams;
    MoveState m_state;
    Permille m_share;
    WallTime m_stepBegan;
    std::uint64_t m_newAnswers = 0;
    std::map<std::string, Coverage> m_byRoute;
    std::map<std::uint8_t, Coverage> m_byLength;
    std::array<Coverage, 4> m_byLoad{};
};

/// How often a leader looks, which the verdict's prior over starting times is made for.
constexpr std::int64_t EvaluationIntervalMs = 250;
/// A move needs at least this long; a tighter deadline is answered at once.
constexpr std::int64_t ShortestMoveMs = 40'000;

}

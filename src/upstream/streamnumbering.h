#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cumindyke
{

/// What the ids of a stream may look like.
enum class EventIds {
    FromZero, ///< consecutive numbers from 0: a gap is a fault
    Increasing, ///< a gap is a fault only where a resumed stream skips numbers, and they were consecutive so far
};

enum class EventVerdict {
    Pass, ///< the caller gets the event
    Drop, ///< the caller already has it
    Break, ///< the upstream's answer is faulty: neither this event nor a later one of the answer may reach the caller
};

/// The numbering of one caller's event stream over all answers of upstreams that it consists of.
///
/// Guards against a stream out of order: an upstream that sends its answer twice on one connection, or that ignores, repeats or skips the events after
/// the id from which it was asked to resume. Within one answer the ids must increase. Events without an id, or with one that is no decimal number, can't
/// be judged and pass, except where a resumed answer repeats them.
class StreamNumbering
{
public:
    explicit StreamNumbering(EventIds ids)
        : m_ids(ids)
        , m_next(ids == EventIds::FromZero ? std::optional<std::uint64_t>(0) : std::nullopt)
    {
    }

    /// The caller has resumed the stream itself and has the events up to this id. An id that is no number is ignored.
    void setCallerHas(std::string_view id);
    /// Begins the next answer, which was asked to resume after lastId().
    void startAnswer();
    /// Judges the answer's next event. After Break, startAnswer() must come first.
    EventVerdict judge(std::string_view id);

    /// Whether another answer can be joined: nothing was passed, or an event with a number, after which it can resume.
    bool canResume() const
    {
        return !m_hasPassed || !m_lastId.empty();
    }
    /// The lowest number that the caller does not have; 0 if no number is known.
    std::uint64_t next() const
    {
        return m_next.value_or(0);
    }
    /// Id of the last event with a number that was passed; empty: there was none.
    const std::string &lastId() const
    {
        return m_lastId;
    }

private:
    EventVerdict judgeUnnumbered();

    EventIds m_ids;
    std::optional<std::uint64_t> m_next;
    std::string m_lastId;
    bool m_hasPassed = false;
    /// No event passed so far skipped a number.
    bool m_isConsecutive = true;
    /// This answer continues an earlier one.
    bool m_isResumed = false;
    /// The highest number in this answer.
    std::optional<std::uint64_t> m_lastInAnswer;
    /// Unnumbered events passed since the last numbered one, and how many of them this answer is yet to repeat.
    std::uint64_t m_unnumberedCount = 0;
    std::uint64_t m_expectedRepeats = 0;
};

}

#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace cumindyke
{

struct ClaimLimits
{
    std::size_t maxClaims = 500'000;
    /// Limits on the saved answers, in total and each. A larger answer is not saved: a resend gets OUTCOME_LOST.
    std::size_t maxBytes = 128U << 20;
    std::size_t maxAnswerBytes = 256U << 10;
};

/// Records which request may run each key, and how that run ended.
///
/// Guards against a resend that arrives at another entry VM, during the first run or after it, and runs a second time, so that a caller is charged
/// twice. A claim is decided by the order of the replicated log: of any number of attempts exactly one gets CLAIMED, and only that one dispatches the
/// request. A held claim never expires, whatever happens to its holder; an ended one is kept for the time that its service declares.
///
/// Deterministic, like the whole state machine: the time is that of the log and never goes back.
class Claims
{
public:
    explicit Claims(ClaimLimits limits = {})
        : m_limits(limits)
    {
    }

    /// Applies a claim. The outcome of the reply is unspecified if maxClaims is reached.
    v1::ClaimReply claim(const v1::ClaimRequest &request, WallTime now);
    /// Applies the end of a claim. Only the request that holds the claim can end it. NOT_RUN for a claim that is not recorded forbids that claim in
    /// advance. ANSWERED may follow OUTCOME_LOST: the holder was slow and had not failed.
    void end(const v1::ClaimEnd &end, WallTime now);

    std::size_t size() const
    {
        return m_records.size();
    }
    std::size_t bytes() const
    {
        return m_bytes;
    }

    void save(v1::StateSnapshot &snapshot) const;
    void restore(const v1::StateSnapshot &snapshot);

private:
    using Key = std::tuple<std::string, std::string, std::string>;

    void expire(WallTime now);
    void storeRecord(const Key &key, v1::ClaimRecord record);
    void eraseRecord(std::map<Key, v1::ClaimRecord>::iterator found);
    v1::ClaimReply replyFor(const v1::ClaimRecord &record, const v1::ClaimRequest &request) const;

    ClaimLimits m_limits;
    std::map<Key, v1::ClaimRecord> m_records;
    /// Keys of ended claims by the log time at which they expire.
    std::set<std::pair<std::int64_t, Key>> m_keysByExpiry;
    std::size_t m_bytes = 0;
    std::int64_t m_latestTime = 0;
};

}

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
    /// Stored answers, all together and each. A larger answer is not kept: a resend hears that its outcome is unknown.
    std::size_t maxBytes = 128U << 20;
    std::size_t maxAnswerBytes = 256U << 10;
};

/// The write-once records of keyed requests: who may run each key, and how that run ended.
///
/// Failure guarded against: a resend that arrives on another entry VM, during the first run or after it, and runs a second time; callers
/// see a deposit charged twice. A claim is decided by the order of the replicated log, so of any number of sendings exactly one is told
/// that it may run, and only that one dispatches. A held claim never expires, whatever became of its holder; an ended one is kept for
/// the time that its service declares.
///
/// Deterministic, as all of the state machine: time is the log's, and never goes back.
class Claims
{
public:
    explicit Claims(ClaimLimits limits = {})
        : m_limits(limits)
    {
    }

    /// The reply's outcome is unspecified when there is no room for another claim.
    v1::ClaimReply claim(const v1::ClaimRequest &request, WallTime at);
    /// Only the request that holds the claim can end it. "Not run" for a claim that is not here yet forbids it in advance. An answer may
    /// follow a loss: the holder was slow, not gone.
    void end(const v1::ClaimEnd &end, WallTime at);

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

    void expire(WallTime at);
    void put(const Key &key, v1::ClaimRecord record);
    void erase(std::map<Key, v1::ClaimRecord>::iterator found);
    v1::ClaimReply replyFor(const v1::ClaimRecord &record, const v1::ClaimRequest &request) const;

    ClaimLimits m_limits;
    std::map<Key, v1::ClaimRecord> m_records;
    /// Ended claims by the log time at which they may be forgotten.
    std::set<std::pair<std::int64_t, Key>> m_expiry;
    std::size_t m_bytes = 0;
    std::int64_t m_now = 0;
};

}

#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <cstdint>
#include <map>

namespace cumindyke
{

/// Requests that were running at upstreams whose processes ended, and the parts of their prompts, as part of the replicated state: a restart, a change of
/// the leader or a lost message does not reset a count. Pure and deterministic: the time is the log's.
///
/// When a process ends, each request that it ran becomes a suspect. From then on one copy of it at a time runs, under a trial, anywhere in the fleet. Only
/// a crash during a trial adds to its count, so crashes of many upstreams at once count once. A complete answer clears a suspect. The request is refused
/// after CrashesUntilRefused. The parts of its prompt become suspects too, but requests with them run freely (see partsuspect).
class CrashLedger
{
public:
    static constexpr std::uint32_t CrashesUntilRefused = 3;
    /// After this time without a crash a suspect is forgotten.
    static constexpr std::int64_t KeepMs = 24 * 3'600'000;
    /// A refused request may run one copy on trial again after this time, and after KeepMs if that copy ends an upstream too.
    static constexpr std::int64_t FirstRefusalMs = 10 * 60'000;
    /// Bounds the table that each VM holds. The suspects with the fewest and oldest crashes are evicted first.
    static constexpr std::size_t MaxSuspects = 256;

    /// Applies a command; the outcome is CONFLICT if it claims a trial that can't be granted now. The revision in the reply is version().
    v1::CommandReply apply(const v1::SuspectCommand &command, WallTime now);
    /// Removes suspects, and ends refusals, whose time is over.
    void expire(WallTime now);

    /// Incremented with each change of the table's members or refusals.
    std::uint64_t version() const
    {
        return m_version;
    }
    v1::SuspectTable table() const;
    const std::map<std::uint64_t, v1::Suspect> &suspects() const
    {
        return m_suspects;
    }

    void writeTo(v1::StateSnapshot &snapshot) const;
    void readFrom(const v1::StateSnapshot &snapshot);

private:
    void recordCrash(const v1::CrashReport &report, WallTime now);
    void recordPartCrash(const v1::PartCrash &report, WallTime now);
    void recordPartAnswers(const v1::PartAnswers &report);
    v1::Suspect &suspectFor(std::uint64_t fingerprint);
    void refuse(v1::Suspect &part, WallTime now);
    void evictIfFull();
    bool claim(const v1::Trial &trial, WallTime now);

    std::map<std::uint64_t, v1::Suspect> m_suspects;
    std::uint64_t m_version = 0;
};

}

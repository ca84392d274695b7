#pragma once

#include "common/types.h"
#include "entry/requesttraits.h"

#include "control.pb.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cumindyke
{

/// Identifies one trial of a suspect request; unique over all VMs and restarts, never 0.
using TrialId = Strong<struct TrialIdTag, std::uint64_t>;

/// An entry VM's view of the requests that end the upstreams that run them, and of the parts of prompts that do, and what it has to report about them.
/// The counts are in the replicated state (CrashLedger). Pure: time is an argument.
///
/// A request that many callers send is at nearly every upstream, and so at most that end for any reason. One that this VM has seen answered within
/// AnswerMemory, and not lost to a crash since, is therefore neither reported nor refused: a request that ends each upstream is never answered.
class CrashGuard
{
public:
    enum class Standing {
        Unsuspected,
        Suspect, ///< one copy at a time may run, under a trial
        Refused, ///< no copy may run
    };

    /// "seed": secret and random at each start of the process.
    explicit CrashGuard(std::uint64_t seed)
        : m_seed(seed)
        , m_lastTrial(seed)
        , m_answered(AnsweredSlots)
    {
    }

    /// Replaces the table in force. Returns the parts that are refused from now on.
    std::vector<RequestTrait> setTable(const std::shared_ptr<const v1::SuspectTable> &table);
    /// Whether there is any suspect. Otherwise no request needs a fingerprint.
    bool hasSuspects() const
    {
        return !m_suspects.empty() || !m_unconfirmed.empty();
    }
    /// Whether any part of prompts is a suspect. Otherwise no request's traits are needed.
    bool hasSuspectParts() const
    {
        return !m_parts.empty();
    }
    /// The part for which a request with these traits is refused; none: it is not.
    std::optional<RequestTrait> refusedPart(const RequestTraits &traits, WallTime now) const;
    /// How long the part will be refused; zero if it is not refused.
    Duration refusedFor(RequestTrait part, WallTime now) const;
    /// Records that the upstream's process ended while it ran a request with these traits, this long after the request was sent.
    void recordPartCrash(const RequestTraits &traits, std::uint64_t upstream, Duration ran);
    /// Records a complete answer to a request with these traits.
    void recordPartAnswer(const RequestTraits &traits);
    Standing standing(RequestFingerprint fingerprint, WallTime now) const;
    /// How long the request will be refused; zero if it is not refused.
    Duration refusedFor(RequestFingerprint fingerprint, WallTime now) const;

    /// Records a complete answer. "contentHash" is any hash with seed() of what the fingerprint covers.
    void recordAnswer(std::uint64_t contentHash, TimePoint now);
    bool wasAnswered(std::uint64_t contentHash, TimePoint now) const;
    std::uint64_t seed() const
    {
        return m_seed;
    }

    /// Records that the upstream's process ended while it ran the request, and returns whether this counts against the request. Without a trial it does
    /// not if a copy was answered since the last such event.
    bool recordCrash(RequestFingerprint fingerprint, std::uint64_t contentHash, TrialId trial, TimePoint now);
    /// Clears a suspect: an upstream has answered it completely.
    void clear(RequestFingerprint fingerprint);
    /// Ends a trial that gave no evidence.
    void release(RequestFingerprint fingerprint, TrialId trial);
    TrialId nextTrial();

    bool hasReports() const
    {
        return m_reports.crashes_size() + m_reports.cleared_size() + m_reports.released_size() + m_reports.part_crashes_size() > 0;
    }
    bool hasPartAnswers() const
    {
        return !m_partAnswers.empty();
    }
    /// Returns and removes what is to be reported. The receiver calls restore() if it could not be delivered.
    v1::SuspectCommand takeReports();
    void restore(const v1::SuspectCommand &reports);
    /// Records that the reports are in the replicated state as of this version of the table.
    void confirm(const v1::SuspectCommand &reports, std::uint64_t tableVersion);

private:
    struct Answered
    {
        std::uint64_t contentHash = 0;
        TimePoint at{};
    };

    /// Of a report whose confirmation has not arrived.
    static constexpr std::uint64_t Unknown = std::numeric_limits<std::uint64_t>::max();
    static constexpr Duration AnswerMemory = std::chrono::seconds(10);
    /// 512 KB; many times the answers of a busy VM within AnswerMemory.
    static constexpr std::size_t AnsweredSlots = 32'768;
    /// The requests in flight of a busy VM, a few times over.
    static constexpr int MaxReports = 2'000;

    std::uint64_t m_seed;
    std::uint64_t m_lastTrial;
    /// Wall-clock time in milliseconds until which the request is refused, by fingerprint; 0: not refused.
    std::map<RequestFingerprint, std::int64_t> m_suspects;
    struct SuspectPart
    {
        /// Wall-clock time in milliseconds; 0: not refused.
        std::int64_t refusedUntilMs = 0;
        /// What a refused request has besides the part.
        std::vector<RequestTrait> with;
    };
    std::map<RequestTrait, SuspectPart> m_parts;
    /// Numbers of answers to be reported.
    std::map<RequestTrait, std::uint32_t> m_partAnswers;
    std::uint64_t m_tableVersion = 0;
    /// Suspects that this VM reported and that its table need not contain yet, and the version that will; Unknown before the report is confirmed.
    std::map<RequestFingerprint, std::uint64_t> m_unconfirmed;
    /// Answered requests, each at its hash modulo the size: a new one replaces an old one.
    std::vector<Answered> m_answered;
    v1::SuspectCommand m_reports;
};

}

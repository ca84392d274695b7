#pragma once

#include "common/eventloop.h"
#include "common/metrics.h"
#include "control/controltask.h"
#include "entry/crashguard.h"
#include "entry/requesttraits.h"
#include "upstream/livenesschecks.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace cumindyke
{

/// What all copies of a request have in common, whatever their ids and deadlines. Valid as long as the request that the views refer to.
struct RequestContent
{
    /// Empty if the caller is not known.
    std::string_view organisation;
    std::string_view method;
    /// The service's or the route's host, so that equal paths of different services differ.
    std::string_view host;
    std::string_view target;
    std::string_view body;
    std::string_view service = {};
    /// Names the parts of the prompt; not part of the fingerprint.
    PromptFormat promptFormat = PromptFormat::None;
    std::string_view prompt = {};

    RequestFingerprint fingerprint() const;
    RequestTraits traits() const;
    /// A cheap hash, for CrashGuard and for requests that return after a refusal.
    std::uint64_t hash(std::uint64_t seed) const;
};

/// What a task keeps with each request for SuspectTracker.
struct SuspectState
{
    /// Computed when they are first needed: an ordinary request never pays for them.
    std::optional<RequestFingerprint> fingerprint;
    std::optional<RequestTraits> traits;
    /// When the current attempt was sent.
    TimePoint sentAt{};
    /// Set while this copy of a suspect request may run.
    std::optional<TrialId> trial;
};

/// Why a copy of a suspect request is not sent.
struct SuspectRefusal
{
    std::string reason;
    Duration retryAfter;
    /// What the request is known by, for logs.
    std::string inputs;
};

/// The request may be sent.
struct MayRun
{
};
/// A trial was claimed for the request; the answer comes later.
struct AwaitsTrial
{
};

/// The answer of the replicated log to the reports of one VM, and to its claim of a trial.
struct SuspectReply
{
    v1::SuspectCommand command;
    Result<v1::CommandReply> reply;
};

struct SuspectTrackerOptions
{
    VmName vm;
    /// Proposes a command for the replicated log; the answer is called in any thread.
    std::function<void(Proposal)> propose;
    /// Posts the reply to the owning task, which passes it to SuspectTracker::handle().
    std::function<void(SuspectReply)> post;
    /// Maps an upstream's address to the one that is connected to; none: the same.
    std::function<Address(const Address &)> mapAddress = {};
    /// Finds out whether an upstream that refused a connection has ended, and not this VM lost its own path to it; none: it has. After Unknown the
    /// receiver may be called a second time.
    std::function<void(const Address &upstream, std::function<void(EndVerdict)>)> confirmEnded = {};
};

/// Keeps requests that end the upstreams that run them, and those with a part in their prompts that does, away from further upstreams, for the requests
/// of one task: finds upstreams that have ended, reports their requests to the replicated log, claims trials, and refuses (see CrashGuard, CrashLedger).
/// Used in the task's loop.
class SuspectTracker
{
public:
    /// Called with the granted trial, which the receiver keeps in the request's SuspectState, or with the refusal. Returns whether the request still
    /// exists.
    using TrialAnswer = std::function<bool(const std::variant<TrialId, SuspectRefusal> &)>;

    SuspectTracker(EventLoop &loop, SuspectTrackerOptions options, Metrics &metrics);

    void setTable(const std::shared_ptr<const v1::SuspectTable> &table);
    void handle(SuspectReply &reply);

    bool isUnsuspected(const RequestContent &content, SuspectState &state) const;
    /// Decides about a request that is about to be sent. "onAnswer" is called only if the result is AwaitsTrial.
    std::variant<MayRun, SuspectRefusal, AwaitsTrial>
    admit(const RequestId &id, const RequestContent &content, SuspectState &state, TimePoint deadline, TrialAnswer onAnswer);

    /// To be called when an attempt ended without a complete answer: checks whether the upstream's process has ended, and reports the request if so, since
    /// it may have caused it. A lost answer alone does not tell this from a connection that was reset. "then" is called with the result.
    void checkUpstreamEnded(const RequestId &id,
                            const RequestContent &content,
                            SuspectState &state,
                            const std::string &upstream,
                            const Address &address,
                            const std::function<void(bool hasEnded)> &then = {});
    /// Records a complete answer, which clears a suspect.
    void recordAnswer(const RequestId &id, const RequestContent &content, SuspectState &state);
    /// To be called when the request has ended, whatever the reason.
    void releaseTrial(SuspectState &state);

private:
    struct Claim
    {
        RequestId id;
        TrialAnswer onAnswer;
        std::unique_ptr<Timer> timeout;
    };

    /// A request whose answer was lost.
    struct LostRequest
    {
        RequestId id;
        std::string upstream;
        RequestFingerprint fingerprint;
        RequestTraits traits;
        std::uint64_t contentHash = 0;
        /// How long it had run.
        Duration ran{};
    };

    void recordCrash(const LostRequest &lost, TrialId trial);
    static RequestFingerprint fingerprintOf(const RequestContent &content, SuspectState &state);
    static const RequestTraits &traitsOf(const RequestContent &content, SuspectState &state);
    std::optional<RequestTrait> refusedPart(const RequestContent &content, SuspectState &state) const;
    void release(RequestFingerprint fingerprint, TrialId trial);
    void claimTrial(const RequestId &id, RequestFingerprint fingerprint, TimePoint deadline, TrialAnswer onAnswer);
    void answerClaim(const v1::Trial &trial, bool isGranted, const char *refusalReason);
    void clear(const RequestId &id, RequestFingerprint fingerprint, const char *reason);
    void scheduleReport(Duration delay);
    void sendReport(const v1::Trial *claim = nullptr);

    EventLoop &m_loop;
    const SuspectTrackerOptions m_options;
    CrashGuard m_guard;
    LivenessChecks m_livenessChecks;
    Timer m_reportTimer;
    Timer m_answerReportTimer;
    /// Distinguishes the commands of this process from those of its predecessors.
    const std::uint64_t m_processId;
    std::uint64_t m_commandCount = 0;
    /// By the trial's id.
    std::map<TrialId, Claim> m_claims;
    Counter m_lostToEndedUpstreams;
    Counter m_refusals;
};

}

#pragma once

#include "control/controltask.h"
#include "entry/callerrequest.h"
#include "entry/exchange.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace cumindyke
{

/// The control replicas' decision on a claim, posted back to the entry task.
struct ClaimDecision
{
    v1::ClaimRequest claim;
    Result<v1::ProposeReply> reply;
};

/// Whether the control replicas have committed the end of a claim.
struct ClaimEndSaved
{
    RequestId id;
    bool saved = false;
};

/// The result of the original request, for resends with the same key.
struct KeyedResult
{
    RunOutcome outcome = RunOutcome::Unknown;
    /// Id of the original request, under which the upstream ran it.
    RequestId originalId;
    /// Set with RunOutcome::Ran, unless the answer was too large to save.
    std::optional<SavedAnswer> answer;
};

struct KeyedOptions
{
    VmName vm;
    std::function<void(Proposal)> propose;
    PeerSender send;
    /// Post the replicas' replies to the entry task. Called from the control task's thread.
    std::function<void(ClaimDecision)> postClaimDecision;
    std::function<void(ClaimEndSaved)> postClaimEndSaved;
};

/// The requests with an idempotency key on one entry VM. Claims each key in the replicated log before its request may be dispatched, lets
/// resends join the run that holds their key, on this or another VM, and saves the ends of runs. docs/notes/request-life.md lists the cases.
///
/// A request whose claim is not decided in time, or whose holder times out, is answered "unknown", never "not run": an earlier request
/// with its key may have run. A request that was answered so is never dispatched.
class KeyedRequests
{
public:
    explicit KeyedRequests(KeyedOptions options);

    /// Proposes a claim of the request's key. The request may be dispatched only after claimed() is emitted for it.
    void claimKey(const CallerRequest &request, std::chrono::seconds retention, TimePoint now);
    /// Whether the outcome under a request's key is not decided yet, or decided by another request, so that the request's own dispatch record
    /// can't give it.
    bool isOutcomeUndecided(const RequestId &id) const;
    /// Saves the end of a request that got its final answer. "answer" is the saved answer, when the end is ANSWERED.
    void onRequestEnded(const RequestId &id, v1::ClaimEnd::End end, std::optional<SavedAnswer> answer, TimePoint now);

    void handle(const ClaimDecision &decision, TimePoint now);
    void handle(const ClaimEndSaved &saved);
    void handle(const VmName &from, const v1::JoinRequest &join);
    void handle(const VmName &from, const v1::JoinReply &reply, TimePoint now);
    /// Resends join requests and unsaved ends, and expires requests. To be called about ten times a second.
    void sweep(TimePoint now);
    /// Whether the control replicas have committed all ends.
    bool allEndsSaved() const
    {
        return m_unsavedEnds.empty();
    }

    sigc::signal<void, const RequestId &> &claimed()
    {
        return m_claimed;
    }
    sigc::signal<void, const RequestId &, const KeyedResult &> &answered()
    {
        return m_answered;
    }
    sigc::signal<void, const RequestId &, const Error &, RunOutcome> &refused()
    {
        return m_refused;
    }

private:
    /// Organisation, service and idempotency key.
    using Key = std::tuple<std::string, std::string, std::string>;

    struct KeyedRequest
    {
        enum class State { Claiming, Running, Joining };

        State state = State::Claiming;
        v1::ClaimRequest claim;
        TimePoint deadline;
        TimePoint expiresAt;
        /// From here on: used while joining a run.
        VmName holder;
        RequestId originalId;
        std::uint64_t call = 0;
        TimePoint nextJoinRequestAt;
        /// The claim was proposed a second time because the holder did not know the run, whose end may be in the log by now.
        bool claimRepeated = false;
    };

    struct RemoteJoiner
    {
        VmName vm;
        std::uint64_t call = 0;
    };

    /// A run whose key this VM holds, or that ended less than ResultRetention ago.
    struct Run
    {
        RequestId id;
        std::optional<KeyedResult> result;
        TimePoint endedAt;
        std::vector<RequestId> joiners;
        std::map<std::pair<VmName, std::uint64_t>, Done> remoteJoiners;
    };

    struct UnsavedEnd
    {
        v1::ClaimEnd end;
        TimePoint nextProposalAt;
        int proposalCount = 0;
    };

    void propose(const RequestId &id, const KeyedRequest &keyed);
    void saveEnd(const v1::ClaimRequest &claim, v1::ClaimEnd::End end, const std::optional<SavedAnswer> &answer, TimePoint now);
    void proposeEnd(const RequestId &id, UnsavedEnd &unsaved, TimePoint now);
    void handleHeld(const RequestId &id, KeyedRequest &keyed, const v1::ClaimReply &reply, TimePoint now);
    void joinLocally(const RequestId &id, KeyedRequest &keyed, TimePoint now);
    void sendJoinRequest(KeyedRequest &keyed, TimePoint now);
    void handleUnknownRun(const RequestId &id, KeyedRequest &keyed, TimePoint now);
    void emitResult(const RequestId &id, const KeyedResult &result);
    void refuse(const RequestId &id, ErrorKind kind, const std::string &message, RunOutcome outcome);

    const KeyedOptions m_options;
    std::map<RequestId, KeyedRequest> m_requests;
    std::map<Key, Run> m_runs;
    std::map<std::uint64_t, RequestId> m_joinCalls;
    std::map<RequestId, UnsavedEnd> m_unsavedEnds;
    std::uint64_t m_lastJoinCall = 0;
    sigc::signal<void, const RequestId &> m_claimed;
    sigc::signal<void, const RequestId &, const KeyedResult &> m_answered;
    sigc::signal<void, const RequestId &, const Error &, RunOutcome> m_refused;
};

}

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

/// The control replicas' answer to a claim, brought back to the entry task.
struct ClaimDecision
{
    v1::ClaimRequest claim;
    Result<v1::ProposeReply> reply;
};

/// The control replicas' answer to the end of a claim.
struct ClaimEndSaved
{
    RequestId id;
    bool saved = false;
};

/// What a sending is told that joined another one's run, or came after it.
struct KeyedResult
{
    RunOutcome outcome = RunOutcome::Unknown;
    /// The id under which it ran.
    RequestId ranAs;
    /// Set with RunOutcome::Ran, unless the answer was too large to keep.
    std::optional<RecordedAnswer> answer;
};

struct KeyedOptions
{
    VmName vm;
    std::function<void(Proposal)> propose;
    PeerSender send;
    /// Bring an answer back into the entry task. Called from the control task's thread.
    std::function<void(ClaimDecision)> postDecision;
    std::function<void(ClaimEndSaved)> postSaved;
};

/// The requests with an idempotency key on one entry VM: claims them before they may be dispatched, joins sendings to the run that
/// holds their key, here or on another VM, and saves how runs ended. docs/notes/request-life.md tells the cases.
///
/// A sending whose claim is not decided in time, or whose holder is silent, is told "unknown", never "not run": an earlier sending
/// under its key may have run. Nothing is ever dispatched for a sending that was told so.
class KeyedRequests
{
public:
    explicit KeyedRequests(KeyedOptions options);

    /// The request may go to an upstream only after claimed() names it.
    void begin(const CallerRequest &request, std::chrono::seconds keep, TimePoint now);
    /// Whether the request's own dispatch record can't tell the outcome under its key.
    bool isUndecided(const RequestId &id) const;
    /// The request has had its final answer. "answer" is what its caller got, when the end is ANSWERED.
    void ended(const RequestId &id, v1::ClaimEnd::End end, std::optional<RecordedAnswer> answer, TimePoint now);

    void handle(const ClaimDecision &decision, TimePoint now);
    void handle(const ClaimEndSaved &saved);
    void handle(const VmName &from, const v1::JoinRequest &join);
    void handle(const VmName &from, const v1::JoinReply &reply, TimePoint now);
    /// Asks again, and gives up what has waited too long. Call it about ten times a second.
    void sweep(TimePoint now);
    /// Whether every end is saved.
    bool isSaved() const
    {
        return m_ends.empty();
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
    using Key = std::tuple<std::string, std::string, std::string>;

    struct Sending
    {
        enum class State { Claiming, Running, Joining };

        State state = State::Claiming;
        v1::ClaimRequest claim;
        TimePoint deadline;
        TimePoint giveUpAt;
        /// While joining another VM's run.
        VmName holder;
        RequestId ranAs;
        std::uint64_t call = 0;
        TimePoint askAgainAt;
        /// The holder did not know the run; the claim was asked once more, since the run may have ended meanwhile.
        bool askedTwice = false;
    };

    struct RemoteJoiner
    {
        VmName vm;
        std::uint64_t call = 0;
    };

    /// A run that this VM holds or has held not long ago.
    struct Run
    {
        RequestId id;
        std::optional<KeyedResult> result;
        TimePoint endedAt;
        std::vector<RequestId> joiners;
        std::map<std::pair<VmName, std::uint64_t>, Done> remoteJoiners;
    };

    struct SavingEnd
    {
        v1::ClaimEnd end;
        TimePoint nextTry;
        int tries = 0;
    };

    void propose(const RequestId &id, const Sending &sending);
    void saveEnd(const v1::ClaimRequest &claim, v1::ClaimEnd::End end, const std::optional<RecordedAnswer> &answer, TimePoint now);
    void proposeEnd(const RequestId &id, SavingEnd &saving, TimePoint now);
    void held(const RequestId &id, Sending &sending, const v1::ClaimReply &reply, TimePoint now);
    void joinHere(const RequestId &id, Sending &sending, TimePoint now);
    void askHolder(Sending &sending, TimePoint now);
    void holderUnaware(const RequestId &id, Sending &sending, TimePoint now);
    void tell(const RequestId &id, const KeyedResult &result);
    void refuse(const RequestId &id, ErrorKind kind, const std::string &message, RunOutcome outcome);

    const KeyedOptions m_options;
    std::map<RequestId, Sending> m_sendings;
    std::map<Key, Run> m_runs;
    std::map<std::uint64_t, RequestId> m_calls;
    std::map<RequestId, SavingEnd> m_ends;
    std::uint64_t m_callCount = 0;
    sigc::signal<void, const RequestId &> m_claimed;
    sigc::signal<void, const RequestId &, const KeyedResult &> m_answered;
    sigc::signal<void, const RequestId &, const Error &, RunOutcome> m_refused;
};

}

#include "entry/keyedrequests.h"

#include "common/hash.h"

namespace cumindyke
{

namespace
{

/// A claim takes two network hops and a sync; an election takes about two seconds.
constexpr Duration ClaimPatience = std::chrono::seconds(5);
constexpr Duration AskInterval = std::chrono::milliseconds(500);
/// A holder that answers none of six questions is taken for dead.
constexpr Duration HolderPatience = std::chrono::seconds(3);
/// Results stay here until the log certainly has them; later sendings then find them there.
constexpr Duration KeepResult = std::chrono::seconds(60);
constexpr Duration SaveRetry = std::chrono::seconds(1);
constexpr int MaxSaveTries = 30;

std::string payloadOf(const CallerRequest &request)
{
    const std::string form = std::to_string(static_cast<int>(request.form));
    return fingerprint(form + "\n" + request.method + "\n" + request.target + "\n" + request.body);
}

v1::JoinReply replyWith(std::uint64_t call, const std::optional<KeyedResult> &result)
{
    v1::JoinReply reply;
    reply.set_call(call);
    reply.set_known(true);
    if (!result) {
        return reply;
    }
    reply.set_last(true);
    reply.set_outcome(toString(result->outcome));
    if (result->answer) {
        reply.set_status(static_cast<std::uint32_t>(result->answer->status));
        reply.set_content_type(result->answer->contentType);
        reply.set_body(result->answer->body);
    }
    return reply;
}

KeyedResult resultOf(const v1::JoinReply &reply, const RequestId &ranAs)
{
    KeyedResult result{.outcome = RunOutcome::Unknown, .ranAs = ranAs, .answer = {}};
    if (reply.outcome() == toString(RunOutcome::NotRun)) {
        result.outcome = RunOutcome::NotRun;
    } else if (reply.outcome() == toString(RunOutcome::Ran)) {
        result.outcome = RunOutcome::Ran;
    }
    if (reply.status() != 0) {
        result.answer = RecordedAnswer{.status = static_cast<int>(reply.status()), .contentType = reply.content_type(), .body = reply.body()};
    }
    return result;
}

KeyedResult resultOf(v1::ClaimEnd::End end, const RequestId &ranAs, std::optional<RecordedAnswer> answer)
{
    switch (end) {
    case v1::ClaimEnd::ANSWERED:
        return KeyedResult{.outcome = RunOutcome::Ran, .ranAs = ranAs, .answer = std::move(answer)};
    case v1::ClaimEnd::NOT_RUN:
        return KeyedResult{.outcome = RunOutcome::NotRun, .ranAs = ranAs, .answer = {}};
    default:
        return KeyedResult{.outcome = RunOutcome::Unknown, .ranAs = ranAs, .answer = {}};
    }
}

}

KeyedRequests::KeyedRequests(KeyedOptions options)
    : m_options(std::move(options))
{
}

void KeyedRequests::begin(const CallerRequest &request, std::chrono::seconds keep, TimePoint now)
{
    Sending sending{.state = Sending::State::Claiming, .claim = {}, .deadline = request.deadline, .giveUpAt = now + ClaimPatience};
    sending.claim.set_organisation(request.organisation.value);
    sending.claim.set_service(request.service.value);
    sending.claim.set_key(request.idempotencyKey);
    sending.claim.set_payload(payloadOf(request));
    sending.claim.set_entry_vm(m_options.vm.value);
    sending.claim.set_request_id(request.id.value);
    sending.claim.set_keep_s(static_cast<std::uint32_t>(keep.count()));
    propose(request.id, m_sendings.emplace(request.id, std::move(sending)).first->second);
}

void KeyedRequests::propose(const RequestId &id, const Sending &sending)
{
    v1::Command command;
    command.set_command_id("claim/" + id.value + (sending.askedTwice ? "/2" : ""));
    *command.mutable_claim() = sending.claim;
    m_options.propose(Proposal{
        .command = std::move(command),
        .answer = [post = m_options.postDecision,
                   claim = sending.claim](const Result<v1::ProposeReply> &reply) { post(ClaimDecision{.claim = claim, .reply = reply}); },
    });
}

bool KeyedRequests::isUndecided(const RequestId &id) const
{
    const auto sending = m_sendings.find(id);
    return sending != m_sendings.end() && sending->second.state != Sending::State::Running;
}

void KeyedRequests::handle(const ClaimDecision &decision, TimePoint now)
{
    const RequestId id{decision.claim.request_id()};
    const auto found = m_sendings.find(id);
    const v1::ClaimReply::Outcome outcome = ok(decision.reply) ? valueOf(decision.reply).claim().outcome() : v1::ClaimReply::OUTCOME_UNSPECIFIED;
    if (found == m_sendings.end()) {
        // Its caller was answered in the meantime: the claim must not block the key.
        if (outcome == v1::ClaimReply::CLAIMED) {
            saveEnd(decision.claim, v1::ClaimEnd::NOT_RUN, {}, now);
        }
        return;
    }
    Sending &sending = found->second;
    if (sending.state != Sending::State::Claiming) {
        return;
    }
    if (!ok(decision.reply)) {
        refuse(id, ErrorKind::Unavailable, "the key could not be claimed: send the request again with the same key", RunOutcome::Unknown);
        return;
    }
    const v1::ClaimReply &reply = valueOf(decision.reply).claim();
    sending.state = Sending::State::Joining;
    switch (outcome) {
    case v1::ClaimReply::CLAIMED:
        sending.state = Sending::State::Running;
        m_runs[Key(sending.claim.organisation(), sending.claim.service(), sending.claim.key())] = Run{.id = id};
        m_claimed.emit(id);
        break;
    case v1::ClaimReply::HELD:
        held(id, sending, reply, now);
        break;
    case v1::ClaimReply::ENDED:
        tell(id,
             KeyedResult{
                 .outcome = RunOutcome::Ran,
                 .ranAs = RequestId{reply.request_id()},
                 .answer = RecordedAnswer{.status = static_cast<int>(reply.answer().status()),
                                          .contentType = reply.answer().content_type(),
                                          .body = reply.answer().body()},
             });
        break;
    case v1::ClaimReply::OUTCOME_LOST:
        tell(id, KeyedResult{.outcome = RunOutcome::Unknown, .ranAs = RequestId{reply.request_id()}, .answer = {}});
        break;
    case v1::ClaimReply::OTHER_PAYLOAD:
        refuse(id, ErrorKind::Conflict, "the Idempotency-Key was used with another request: use a new key for a new request", RunOutcome::NotRun);
        break;
    default:
        refuse(id, ErrorKind::Overloaded, "no more keys can be kept: try again later", RunOutcome::Unknown);
        break;
    }
}

void KeyedRequests::held(const RequestId &id, Sending &sending, const v1::ClaimReply &reply, TimePoint now)
{
    sending.holder = VmName{reply.holder()};
    sending.ranAs = RequestId{reply.request_id()};
    if (sending.holder == m_options.vm) {
        joinHere(id, sending, now);
        return;
    }
    sending.call = ++m_callCount;
    m_calls[sending.call] = id;
    sending.giveUpAt = now + HolderPatience;
    askHolder(sending, now);
}

void KeyedRequests::joinHere(const RequestId &id, Sending &sending, TimePoint now)
{
    const auto run = m_runs.find(Key(sending.claim.organisation(), sending.claim.service(), sending.claim.key()));
    if (run == m_runs.end() || run->second.id != sending.ranAs) {
        holderUnaware(id, sending, now);
        return;
    }
    sending.giveUpAt = TimePoint::max();
    if (run->second.result) {
        tell(id, KeyedResult(*run->second.result));
        return;
    }
    run->second.joiners.push_back(id);
}

void KeyedRequests::askHolder(Sending &sending, TimePoint now)
{
    v1::Envelope envelope;
    v1::JoinRequest &join = *envelope.mutable_join();
    join.set_call(sending.call);
    join.set_organisation(sending.claim.organisation());
    join.set_service(sending.claim.service());
    join.set_key(sending.claim.key());
    join.set_request_id(sending.ranAs.value);
    sending.askAgainAt = now + AskInterval;
    m_options.send(sending.holder, std::move(envelope));
}

/// The holder's process is not the one that claimed, or has forgotten the run: its end may be in the log by now, else it is lost.
void KeyedRequests::holderUnaware(const RequestId &id, Sending &sending, TimePoint now)
{
    if (!sending.askedTwice) {
        sending.askedTwice = true;
        sending.state = Sending::State::Claiming;
        sending.giveUpAt = now + ClaimPatience;
        propose(id, sending);
        return;
    }
    v1::ClaimRequest lost = sending.claim;
    lost.set_request_id(sending.ranAs.value);
    saveEnd(lost, v1::ClaimEnd::OUTCOME_LOST, {}, now);
    tell(id, KeyedResult{.outcome = RunOutcome::Unknown, .ranAs = sending.ranAs, .answer = {}});
}

void KeyedRequests::handle(const VmName &from, const v1::JoinRequest &join)
{
    v1::Envelope envelope;
    v1::JoinReply &reply = *envelope.mutable_join_reply();
    reply.set_call(join.call());
    const auto run = m_runs.find(Key(join.organisation(), join.service(), join.key()));
    if (run != m_runs.end() && run->second.id.value == join.request_id()) {
        reply = replyWith(join.call(), run->second.result);
        if (!run->second.result) {
            run->second.remoteJoiners.emplace(std::pair(from, join.call()), Done{});
        }
    }
    m_options.send(from, std::move(envelope));
}

void KeyedRequests::handle(const VmName &from, const v1::JoinReply &reply, TimePoint now)
{
    const auto call = m_calls.find(reply.call());
    const auto found = call == m_calls.end() ? m_sendings.end() : m_sendings.find(call->second);
    if (found == m_sendings.end() || found->second.state != Sending::State::Joining || found->second.holder != from || found->second.call != reply.call()) {
        return;
    }
    Sending &sending = found->second;
    const RequestId id = found->first;
    if (!reply.known()) {
        holderUnaware(id, sending, now);
    } else if (reply.last()) {
        tell(id, resultOf(reply, sending.ranAs));
    } else {
        sending.giveUpAt = now + HolderPatience;
    }
}

void KeyedRequests::ended(const RequestId &id, v1::ClaimEnd::End end, std::optional<RecordedAnswer> answer, TimePoint now)
{
    const auto found = m_sendings.find(id);
    if (found == m_sendings.end()) {
        return;
    }
    const Sending sending = std::move(found->second);
    m_sendings.erase(found);
    m_calls.erase(sending.call);
    if (sending.state == Sending::State::Claiming) {
        saveEnd(sending.claim, v1::ClaimEnd::NOT_RUN, {}, now);
    }
    if (sending.state != Sending::State::Running) {
        return;
    }
    saveEnd(sending.claim, end == v1::ClaimEnd::ANSWERED && !answer ? v1::ClaimEnd::OUTCOME_LOST : end, answer, now);
    Run &run = m_runs[Key(sending.claim.organisation(), sending.claim.service(), sending.claim.key())];
    run.result = resultOf(end, id, std::move(answer));
    run.endedAt = now;
    for (const RequestId &joiner : std::exchange(run.joiners, {})) {
        tell(joiner, KeyedResult(*run.result));
    }
    for (const auto &[joiner, done] : std::exchange(run.remoteJoiners, {})) {
        v1::Envelope envelope;
        *envelope.mutable_join_reply() = replyWith(joiner.second, run.result);
        m_options.send(joiner.first, std::move(envelope));
    }
}

void KeyedRequests::saveEnd(const v1::ClaimRequest &claim, v1::ClaimEnd::End end, const std::optional<RecordedAnswer> &answer, TimePoint now)
{
    const RequestId id{claim.request_id()};
    SavingEnd saving;
    saving.end.set_organisation(claim.organisation());
    saving.end.set_service(claim.service());
    saving.end.set_key(claim.key());
    saving.end.set_request_id(claim.request_id());
    saving.end.set_end(end);
    if (answer) {
        saving.end.mutable_answer()->set_status(static_cast<std::uint32_t>(answer->status));
        saving.end.mutable_answer()->set_content_type(answer->contentType);
        saving.end.mutable_answer()->set_body(answer->body);
    }
    SavingEnd &kept = m_ends[id] = std::move(saving);
    proposeEnd(id, kept, now);
}

void KeyedRequests::proposeEnd(const RequestId &id, SavingEnd &saving, TimePoint now)
{
    ++saving.tries;
    saving.nextTry = now + SaveRetry;
    v1::Command command;
    command.set_command_id("claim-end/" + id.value + "/" + std::to_string(saving.tries));
    *command.mutable_claim_end() = saving.end;
    m_options.propose(Proposal{
        .command = std::move(command),
        .answer = [post = m_options.postSaved, id](const Result<v1::ProposeReply> &reply) { post(ClaimEndSaved{.id = id, .saved = ok(reply)}); },
    });
}

void KeyedRequests::handle(const ClaimEndSaved &saved)
{
    if (saved.saved) {
        m_ends.erase(saved.id);
    }
}

void KeyedRequests::sweep(TimePoint now)
{
    std::vector<RequestId> late;
    for (auto &[id, sending] : m_sendings) {
        if (sending.state == Sending::State::Running) {
            continue;
        }
        if (now >= sending.giveUpAt || now >= sending.deadline) {
            late.push_back(id);
        } else if (sending.state == Sending::State::Joining && sending.holder != m_options.vm && now >= sending.askAgainAt) {
            askHolder(sending, now);
        }
    }
    for (const RequestId &id : late) {
        refuse(id, ErrorKind::Unavailable, "whether a request under this key has run can't be told now: send it again with the same key", RunOutcome::Unknown);
    }
    for (auto &[id, saving] : m_ends) {
        if (now >= saving.nextTry && saving.tries < MaxSaveTries) {
            proposeEnd(id, saving, now);
        }
    }
    std::erase_if(m_ends, [now](const auto &entry) { return entry.second.tries >= MaxSaveTries && now >= entry.second.nextTry; });
    std::erase_if(m_runs, [now](const auto &entry) { return entry.second.result && now - entry.second.endedAt > KeepResult; });
}

void KeyedRequests::tell(const RequestId &id, const KeyedResult &result)
{
    m_answered.emit(id, result);
}

void KeyedRequests::refuse(const RequestId &id, ErrorKind kind, const std::string &message, RunOutcome outcome)
{
    m_refused.emit(id, Error{kind, message}, outcome);
}

}

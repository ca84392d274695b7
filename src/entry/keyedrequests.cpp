#include "entry/keyedrequests.h"

#include "common/hash.h"

namespace cumindyke
{

namespace
{

/// A claim takes two network hops and a disk sync; a leader election takes about two seconds.
constexpr Duration ClaimTimeout = std::chrono::seconds(5);
constexpr Duration JoinRequestInterval = std::chrono::milliseconds(500);
/// Six unanswered join requests.
constexpr Duration HolderTimeout = std::chrono::seconds(3);
/// Long enough for the end to be in the log, where later resends find it.
constexpr Duration ResultRetention = std::chrono::seconds(60);
constexpr Duration EndProposalInterval = std::chrono::seconds(1);
constexpr int MaxEndProposals = 30;

std::string payloadFingerprint(const CallerRequest &request)
{
    const std::string form = std::to_string(static_cast<int>(request.form));
    return fingerprint(form + "\n" + request.method + "\n" + request.target + "\n" + request.body);
}

v1::JoinReply makeJoinReply(std::uint64_t call, const std::optional<KeyedResult> &result)
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

KeyedResult resultOf(const v1::JoinReply &reply, const RequestId &originalId)
{
    KeyedResult result{.outcome = RunOutcome::Unknown, .originalId = originalId, .answer = {}};
    if (reply.outcome() == toString(RunOutcome::NotRun)) {
        result.outcome = RunOutcome::NotRun;
    } else if (reply.outcome() == toString(RunOutcome::Ran)) {
        result.outcome = RunOutcome::Ran;
    }
    if (reply.status() != 0) {
        result.answer = SavedAnswer{.status = static_cast<int>(reply.status()), .contentType = reply.content_type(), .body = reply.body()};
    }
    return result;
}

KeyedResult resultOf(v1::ClaimEnd::End end, const RequestId &originalId, std::optional<SavedAnswer> answer)
{
    switch (end) {
    case v1::ClaimEnd::ANSWERED:
        return KeyedResult{.outcome = RunOutcome::Ran, .originalId = originalId, .answer = std::move(answer)};
    case v1::ClaimEnd::NOT_RUN:
        return KeyedResult{.outcome = RunOutcome::NotRun, .originalId = originalId, .answer = {}};
    default:
        return KeyedResult{.outcome = RunOutcome::Unknown, .originalId = originalId, .answer = {}};
    }
}

}

KeyedRequests::KeyedRequests(KeyedOptions options)
    : m_options(std::move(options))
{
}

void KeyedRequests::claimKey(const CallerRequest &request, std::chrono::seconds retention, TimePoint now)
{
    KeyedRequest keyed{.state = KeyedRequest::State::Claiming, .claim = {}, .deadline = request.deadline, .expiresAt = now + ClaimTimeout};
    keyed.claim.set_organisation(request.organisation.value);
    keyed.claim.set_service(request.service.value);
    keyed.claim.set_key(request.idempotencyKey);
    keyed.claim.set_payload(payloadFingerprint(request));
    keyed.claim.set_entry_vm(m_options.vm.value);
    keyed.claim.set_request_id(request.id.value);
    keyed.claim.set_keep_s(static_cast<std::uint32_t>(retention.count()));
    propose(request.id, m_requests.emplace(request.id, std::move(keyed)).first->second);
}

void KeyedRequests::propose(const RequestId &id, const KeyedRequest &keyed)
{
    v1::Command command;
    command.set_command_id("claim/" + id.value + (keyed.claimRepeated ? "/2" : ""));
    *command.mutable_claim() = keyed.claim;
    m_options.propose(Proposal{
        .command = std::move(command),
        .answer = [post = m_options.postClaimDecision,
                   claim = keyed.claim](const Result<v1::ProposeReply> &reply) { post(ClaimDecision{.claim = claim, .reply = reply}); },
    });
}

bool KeyedRequests::isOutcomeUndecided(const RequestId &id) const
{
    const auto keyed = m_requests.find(id);
    return keyed != m_requests.end() && keyed->second.state != KeyedRequest::State::Running;
}

void KeyedRequests::handle(const ClaimDecision &decision, TimePoint now)
{
    const RequestId id{decision.claim.request_id()};
    const auto found = m_requests.find(id);
    const v1::ClaimReply::Outcome outcome = ok(decision.reply) ? valueOf(decision.reply).claim().outcome() : v1::ClaimReply::OUTCOME_UNSPECIFIED;
    if (found == m_requests.end()) {
        // The caller has been answered in the meantime: release the claim.
        if (outcome == v1::ClaimReply::CLAIMED) {
            saveEnd(decision.claim, v1::ClaimEnd::NOT_RUN, {}, now);
        }
        return;
    }
    KeyedRequest &keyed = found->second;
    if (keyed.state != KeyedRequest::State::Claiming) {
        return;
    }
    if (!ok(decision.reply)) {
        refuse(id, ErrorKind::Unavailable, "the idempotency key could not be claimed: resend the request with the same key", RunOutcome::Unknown);
        return;
    }
    const v1::ClaimReply &reply = valueOf(decision.reply).claim();
    keyed.state = KeyedRequest::State::Joining;
    switch (outcome) {
    case v1::ClaimReply::CLAIMED:
        keyed.state = KeyedRequest::State::Running;
        m_runs[Key(keyed.claim.organisation(), keyed.claim.service(), keyed.claim.key())] = Run{.id = id};
        m_claimed.emit(id);
        break;
    case v1::ClaimReply::HELD:
        handleHeld(id, keyed, reply, now);
        break;
    case v1::ClaimReply::ENDED:
        emitResult(
            id,
            KeyedResult{
                .outcome = RunOutcome::Ran,
                .originalId = RequestId{reply.request_id()},
                .answer
                = SavedAnswer{.status = static_cast<int>(reply.answer().status()), .contentType = reply.answer().content_type(), .body = reply.answer().body()},
            });
        break;
    case v1::ClaimReply::OUTCOME_LOST:
        emitResult(id, KeyedResult{.outcome = RunOutcome::Unknown, .originalId = RequestId{reply.request_id()}, .answer = {}});
        break;
    case v1::ClaimReply::OTHER_PAYLOAD:
        refuse(id, ErrorKind::Conflict, "the Idempotency-Key was used with another request: use a new key for a new request", RunOutcome::NotRun);
        break;
    default:
        refuse(id, ErrorKind::Overloaded, "too many idempotency keys are stored: try again later", RunOutcome::Unknown);
        break;
    }
}

void KeyedRequests::handleHeld(const RequestId &id, KeyedRequest &keyed, const v1::ClaimReply &reply, TimePoint now)
{
    keyed.holder = VmName{reply.holder()};
    keyed.originalId = RequestId{reply.request_id()};
    if (keyed.holder == m_options.vm) {
        joinLocally(id, keyed, now);
        return;
    }
    keyed.call = ++m_lastJoinCall;
    m_joinCalls[keyed.call] = id;
    keyed.expiresAt = now + HolderTimeout;
    sendJoinRequest(keyed, now);
}

void KeyedRequests::joinLocally(const RequestId &id, KeyedRequest &keyed, TimePoint now)
{
    const auto run = m_runs.find(Key(keyed.claim.organisation(), keyed.claim.service(), keyed.claim.key()));
    if (run == m_runs.end() || run->second.id != keyed.originalId) {
        handleUnknownRun(id, keyed, now);
        return;
    }
    keyed.expiresAt = TimePoint::max();
    if (run->second.result) {
        emitResult(id, KeyedResult(*run->second.result));
        return;
    }
    run->second.joiners.push_back(id);
}

void KeyedRequests::sendJoinRequest(KeyedRequest &keyed, TimePoint now)
{
    v1::Envelope envelope;
    v1::JoinRequest &join = *envelope.mutable_join();
    join.set_call(keyed.call);
    join.set_organisation(keyed.claim.organisation());
    join.set_service(keyed.claim.service());
    join.set_key(keyed.claim.key());
    join.set_request_id(keyed.originalId.value);
    keyed.nextJoinRequestAt = now + JoinRequestInterval;
    m_options.send(keyed.holder, std::move(envelope));
}

/// Handles a holder that does not know the run, since it restarted or has expired it. The run's end may be in the log by now, so the
/// claim is repeated once; after that the outcome is recorded as lost.
void KeyedRequests::handleUnknownRun(const RequestId &id, KeyedRequest &keyed, TimePoint now)
{
    if (!keyed.claimRepeated) {
        keyed.claimRepeated = true;
        keyed.state = KeyedRequest::State::Claiming;
        keyed.expiresAt = now + ClaimTimeout;
        propose(id, keyed);
        return;
    }
    v1::ClaimRequest originalClaim = keyed.claim;
    originalClaim.set_request_id(keyed.originalId.value);
    saveEnd(originalClaim, v1::ClaimEnd::OUTCOME_LOST, {}, now);
    emitResult(id, KeyedResult{.outcome = RunOutcome::Unknown, .originalId = keyed.originalId, .answer = {}});
}

void KeyedRequests::handle(const VmName &from, const v1::JoinRequest &join)
{
    v1::Envelope envelope;
    v1::JoinReply &reply = *envelope.mutable_join_reply();
    reply.set_call(join.call());
    const auto run = m_runs.find(Key(join.organisation(), join.service(), join.key()));
    if (run != m_runs.end() && run->second.id.value == join.request_id()) {
        reply = makeJoinReply(join.call(), run->second.result);
        if (!run->second.result) {
            run->second.remoteJoiners.emplace(std::pair(from, join.call()), Done{});
        }
    }
    m_options.send(from, std::move(envelope));
}

void KeyedRequests::handle(const VmName &from, const v1::JoinReply &reply, TimePoint now)
{
    const auto call = m_joinCalls.find(reply.call());
    const auto found = call == m_joinCalls.end() ? m_requests.end() : m_requests.find(call->second);
    if (found == m_requests.end() || found->second.state != KeyedRequest::State::Joining || found->second.holder != from
        || found->second.call != reply.call()) {
        return;
    }
    KeyedRequest &keyed = found->second;
    const RequestId id = found->first;
    if (!reply.known()) {
        handleUnknownRun(id, keyed, now);
    } else if (reply.last()) {
        emitResult(id, resultOf(reply, keyed.originalId));
    } else {
        keyed.expiresAt = now + HolderTimeout;
    }
}

void KeyedRequests::onRequestEnded(const RequestId &id, v1::ClaimEnd::End end, std::optional<SavedAnswer> answer, TimePoint now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const KeyedRequest keyed = std::move(found->second);
    m_requests.erase(found);
    m_joinCalls.erase(keyed.call);
    if (keyed.state == KeyedRequest::State::Claiming) {
        saveEnd(keyed.claim, v1::ClaimEnd::NOT_RUN, {}, now);
    }
    if (keyed.state != KeyedRequest::State::Running) {
        return;
    }
    saveEnd(keyed.claim, end == v1::ClaimEnd::ANSWERED && !answer ? v1::ClaimEnd::OUTCOME_LOST : end, answer, now);
    Run &run = m_runs[Key(keyed.claim.organisation(), keyed.claim.service(), keyed.claim.key())];
    run.result = resultOf(end, id, std::move(answer));
    run.endedAt = now;
    for (const RequestId &joiner : std::exchange(run.joiners, {})) {
        emitResult(joiner, KeyedResult(*run.result));
    }
    for (const auto &[joiner, done] : std::exchange(run.remoteJoiners, {})) {
        v1::Envelope envelope;
        *envelope.mutable_join_reply() = makeJoinReply(joiner.second, run.result);
        m_options.send(joiner.first, std::move(envelope));
    }
}

void KeyedRequests::saveEnd(const v1::ClaimRequest &claim, v1::ClaimEnd::End end, const std::optional<SavedAnswer> &answer, TimePoint now)
{
    const RequestId id{claim.request_id()};
    UnsavedEnd unsaved;
    unsaved.end.set_organisation(claim.organisation());
    unsaved.end.set_service(claim.service());
    unsaved.end.set_key(claim.key());
    unsaved.end.set_request_id(claim.request_id());
    unsaved.end.set_end(end);
    if (answer) {
        unsaved.end.mutable_answer()->set_status(static_cast<std::uint32_t>(answer->status));
        unsaved.end.mutable_answer()->set_content_type(answer->contentType);
        unsaved.end.mutable_answer()->set_body(answer->body);
    }
    UnsavedEnd &inserted = m_unsavedEnds[id] = std::move(unsaved);
    proposeEnd(id, inserted, now);
}

void KeyedRequests::proposeEnd(const RequestId &id, UnsavedEnd &unsaved, TimePoint now)
{
    ++unsaved.proposalCount;
    unsaved.nextProposalAt = now + EndProposalInterval;
    v1::Command command;
    command.set_command_id("claim-end/" + id.value + "/" + std::to_string(unsaved.proposalCount));
    *command.mutable_claim_end() = unsaved.end;
    m_options.propose(Proposal{
        .command = std::move(command),
        .answer = [post = m_options.postClaimEndSaved, id](const Result<v1::ProposeReply> &reply) { post(ClaimEndSaved{.id = id, .saved = ok(reply)}); },
    });
}

void KeyedRequests::handle(const ClaimEndSaved &saved)
{
    if (saved.saved) {
        m_unsavedEnds.erase(saved.id);
    }
}

void KeyedRequests::sweep(TimePoint now)
{
    std::vector<RequestId> expired;
    for (auto &[id, keyed] : m_requests) {
        if (keyed.state == KeyedRequest::State::Running) {
            continue;
        }
        if (now >= keyed.expiresAt || now >= keyed.deadline) {
            expired.push_back(id);
        } else if (keyed.state == KeyedRequest::State::Joining && keyed.holder != m_options.vm && now >= keyed.nextJoinRequestAt) {
            sendJoinRequest(keyed, now);
        }
    }
    for (const RequestId &id : expired) {
        refuse(id,
               ErrorKind::Unavailable,
               "it is not known now whether a request with this key has run: resend the request with the same key",
               RunOutcome::Unknown);
    }
    for (auto &[id, unsaved] : m_unsavedEnds) {
        if (now >= unsaved.nextProposalAt && unsaved.proposalCount < MaxEndProposals) {
            proposeEnd(id, unsaved, now);
        }
    }
    std::erase_if(m_unsavedEnds, [now](const auto &entry) { return entry.second.proposalCount >= MaxEndProposals && now >= entry.second.nextProposalAt; });
    std::erase_if(m_runs, [now](const auto &entry) { return entry.second.result && now - entry.second.endedAt > ResultRetention; });
}

void KeyedRequests::emitResult(const RequestId &id, const KeyedResult &result)
{
    m_answered.emit(id, result);
}

void KeyedRequests::refuse(const RequestId &id, ErrorKind kind, const std::string &message, RunOutcome outcome)
{
    m_refused.emit(id, Error{kind, message}, outcome);
}

}

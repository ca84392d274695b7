#include "control/forwarder.h"

#include "peer/transfertime.h"

namespace cumindyke
{

void Forwarder::submit(v1::ProposeRequest request, Answer answer, TimePoint now)
{
    const std::uint64_t number = m_nextCall++;
    request.set_call(number);
    m_calls.emplace(number,
                    Call{
                        .request = std::move(request),
                        .answer = std::move(answer),
                        .deadline = now + m_options.requestTimeout,
                        .nextAttemptAt = now,
                        .target = {},
                    });
}

std::vector<OutgoingEnvelope> Forwarder::dueRequests(LeaderSearch &search, TimePoint now)
{
    std::vector<OutgoingEnvelope> outgoing;
    std::vector<Answer> expired;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        Call &call = it->second;
        if (now >= call.deadline) {
            expired.push_back(std::move(call.answer));
            it = m_calls.erase(it);
            continue;
        }
        ++it;
        if (now < call.nextAttemptAt) {
            continue;
        }
        search.onNoReply(call.target);
        call.target = search.leader();
        call.nextAttemptAt = now + m_options.resendTimeout + transferTimeout(call.request.command().size());
        OutgoingEnvelope &sent = outgoing.emplace_back(OutgoingEnvelope{.to = call.target, .envelope = {}});
        *sent.envelope.mutable_propose() = call.request;
    }
    for (const Answer &answer : expired) {
        answer(
            Error{ErrorKind::Unavailable, "the control replicas did not decide in time but may still do so: resend the same command with the same command id"});
    }
    return outgoing;
}

void Forwarder::handleReply(const VmName &from, const v1::ProposeReply &reply, LeaderSearch &search, TimePoint now)
{
    const auto found = m_calls.find(reply.call());
    if (found == m_calls.end()) {
        return;
    }
    if (reply.has_reply() || reply.has_claim() || reply.has_answer()) {
        search.onLeaderHint(from);
        const Answer answer = std::move(found->second.answer);
        m_calls.erase(found);
        answer(reply);
        return;
    }
    Call &call = found->second;
    if (from != call.target) {
        return;
    }
    if (reply.leader().empty()) {
        search.onNoReply(from);
    } else {
        search.onLeaderHint(VmName{reply.leader()});
    }
    call.target = {};
    call.nextAttemptAt = now + m_options.hintRetryDelay;
}

}

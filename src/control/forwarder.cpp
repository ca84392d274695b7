#include "control/forwarder.h"

#include "peer/transfertime.h"

namespace cumindyke
{

void Forwarder::add(v1::ProposeRequest request, Answer answer, TimePoint now)
{
    const std::uint64_t number = m_nextCall++;
    request.set_call(number);
    m_calls.emplace(number,
                    Call{
                        .request = std::move(request),
                        .answer = std::move(answer),
                        .giveUp = now + m_options.giveUpAfter,
                        .nextTry = now,
                        .asked = {},
                    });
}

std::vector<Outgoing> Forwarder::due(LeaderSearch &search, TimePoint now)
{
    std::vector<Outgoing> outgoing;
    std::vector<Answer> givenUp;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        Call &call = it->second;
        if (now >= call.giveUp) {
            givenUp.push_back(std::move(call.answer));
            it = m_calls.erase(it);
            continue;
        }
        ++it;
        if (now < call.nextTry) {
            continue;
        }
        search.gaveNoAnswer(call.asked);
        call.asked = search.leader();
        call.nextTry = now + m_options.resendAfter + transferTimeout(call.request.command().size());
        Outgoing &sent = outgoing.emplace_back(Outgoing{.to = call.asked, .envelope = {}});
        *sent.envelope.mutable_propose() = call.request;
    }
    for (const Answer &answer : givenUp) {
        answer(
            Error{ErrorKind::Unavailable, "the control replicas did not decide in time, and may still: send the same command again with the same command id"});
    }
    return outgoing;
}

void Forwarder::replied(const VmName &from, const v1::ProposeReply &reply, LeaderSearch &search, TimePoint now)
{
    const auto found = m_calls.find(reply.call());
    if (found == m_calls.end()) {
        return;
    }
    if (reply.has_reply() || reply.has_claim() || reply.has_answer()) {
        search.learned(from);
        const Answer answer = std::move(found->second.answer);
        m_calls.erase(found);
        answer(reply);
        return;
    }
    Call &call = found->second;
    if (from != call.asked) {
        return;
    }
    if (reply.leader().empty()) {
        search.gaveNoAnswer(from);
    } else {
        search.learned(VmName{reply.leader()});
    }
    call.asked = {};
    call.nextTry = now + m_options.retryAfterHint;
}

}

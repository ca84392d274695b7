#include "control/pendingproposals.h"

#include <utility>

namespace cumindyke
{

void PendingProposals::add(std::uint64_t index, std::uint64_t term, Answer answer)
{
    m_waiting[index] = Waiting{.term = term, .answer = std::move(answer)};
}

void PendingProposals::applied(std::uint64_t index, std::uint64_t term, const v1::ProposeReply &reply)
{
    const auto found = m_waiting.find(index);
    if (found == m_waiting.end()) {
        return;
    }
    Result<v1::ProposeReply> result = reply;
    if (found->second.term != term) {
        result = Error{ErrorKind::Unavailable, "the leader changed before the command was committed: send it again with the same id"};
    }
    m_decided.push_back(Decided{.answer = std::move(found->second.answer), .result = std::move(result)});
    m_waiting.erase(found);
}

void PendingProposals::answerDecided()
{
    // An answer may propose again.
    for (Decided &decided : std::exchange(m_decided, {})) {
        decided.answer(decided.result);
    }
}

void PendingProposals::forget()
{
    m_waiting.clear();
}

}

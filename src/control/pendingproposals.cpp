#include "control/pendingproposals.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

void PendingProposals::add(std::uint64_t index, std::uint64_t term, const std::string &commandId, Answer answer)
{
    m_waiting[index] = Waiting{.term = term, .commandId = commandId, .answers = {std::move(answer)}};
}

bool PendingProposals::join(const std::string &commandId, const Answer &answer)
{
    const auto found = std::ranges::find_if(m_waiting, [&commandId](const auto &item) { return item.second.commandId == commandId; });
    if (commandId.empty() || found == m_waiting.end()) {
        return false;
    }
    found->second.answers.push_back(answer);
    return true;
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
    for (Answer &answer : found->second.answers) {
        m_decided.push_back(Decided{.answer = std::move(answer), .result = result});
    }
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

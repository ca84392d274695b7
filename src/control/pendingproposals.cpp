#include "control/pendingproposals.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

void PendingProposals::add(std::uint64_t index, std::uint64_t term, const std::string &commandId, Answer answer)
{
    m_pending[index] = Pending{.term = term, .commandId = commandId, .answers = {std::move(answer)}};
}

bool PendingProposals::attach(const std::string &commandId, const Answer &answer)
{
    const auto found = std::ranges::find_if(m_pending, [&commandId](const auto &item) { return item.second.commandId == commandId; });
    if (commandId.empty() || found == m_pending.end()) {
        return false;
    }
    found->second.answers.push_back(answer);
    return true;
}

void PendingProposals::onApplied(std::uint64_t index, std::uint64_t term, const v1::ProposeReply &reply)
{
    const auto found = m_pending.find(index);
    if (found == m_pending.end()) {
        return;
    }
    Result<v1::ProposeReply> result = reply;
    if (found->second.term != term) {
        result = Error{ErrorKind::Unavailable, "the leader changed before the command was committed: send it again with the same id"};
    }
    for (Answer &answer : found->second.answers) {
        m_decided.push_back(Decided{.answer = std::move(answer), .result = result});
    }
    m_pending.erase(found);
}

void PendingProposals::deliverAnswers()
{
    // An answer may propose another command.
    for (Decided &decided : std::exchange(m_decided, {})) {
        decided.answer(decided.result);
    }
}

void PendingProposals::discardAll()
{
    m_pending.clear();
}

}

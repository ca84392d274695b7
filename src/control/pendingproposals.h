#pragma once

#include "common/result.h"

#include "control.pb.h"

#include <functional>
#include <map>
#include <vector>

namespace cumindyke
{

/// The leader's proposals between the log taking them and applying them, by their place in the log.
class PendingProposals
{
public:
    using Answer = std::function<void(const Result<v1::ProposeReply> &)>;

    void add(std::uint64_t index, std::uint64_t term, const std::string &commandId, Answer answer);
    /// Another answer for a command that is in the log already, so that a resend does not make the log longer. False when it is not.
    bool join(const std::string &commandId, const Answer &answer);
    /// An entry was applied. An answer that waits at its index gets the reply if the entry is the one proposed; if another leader put something
    /// else there, the command is certainly not in the log, and the client's resend proposes it anew.
    void applied(std::uint64_t index, std::uint64_t term, const v1::ProposeReply &reply);
    /// Calls the answers that are due. Separate from applied(), so that a whole batch is applied before anybody hears of a part of it.
    void answerDecided();
    /// Leadership is lost: whether the commands will be committed is not known here, so nobody is answered.
    void forget();

private:
    struct Waiting
    {
        std::uint64_t term;
        std::string commandId;
        std::vector<Answer> answers;
    };
    struct Decided
    {
        Answer answer;
        Result<v1::ProposeReply> result;
    };

    std::map<std::uint64_t, Waiting> m_waiting;
    std::vector<Decided> m_decided;
};

}

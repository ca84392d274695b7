#pragma once

#include "common/result.h"

#include "control.pb.h"

#include <functional>
#include <map>
#include <vector>

namespace cumindyke
{

/// The leader's proposals that are in its log and not applied yet, by their log index.
class PendingProposals
{
public:
    using Answer = std::function<void(const Result<v1::ProposeReply> &)>;

    void add(std::uint64_t index, std::uint64_t term, const std::string &commandId, Answer answer);
    /// Attaches another answer to a pending command, so that a resend does not append to the log again. Returns false if the command is not pending.
    bool attach(const std::string &commandId, const Answer &answer);
    /// Handles an applied entry: the answers pending at its index get the reply if the entry is the one proposed. If another leader's entry is at
    /// that index, the command is certainly not in the log, and the client's resend proposes it anew.
    void onApplied(std::uint64_t index, std::uint64_t term, const v1::ProposeReply &reply);
    /// Calls the answers of applied entries. Separate from onApplied(), so that a whole batch is applied before any of its commands is answered.
    void deliverAnswers();
    /// Drops all pending proposals without an answer after a loss of leadership: whether the commands will be committed is unknown.
    void discardAll();

private:
    struct Pending
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

    std::map<std::uint64_t, Pending> m_pending;
    std::vector<Decided> m_decided;
};

}

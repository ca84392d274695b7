#pragma once

#include "common/result.h"
#include "control/leadersearch.h"

#include "peer.pb.h"

#include <functional>
#include <map>
#include <vector>

namespace cumindyke
{

/// An envelope for a VM, to be sent by the task.
struct Outgoing
{
    VmName to;
    v1::Envelope envelope;
};

struct ForwarderOptions
{
    /// A lost request or answer shows as silence; the command's id makes the resend harmless.
    Duration resendAfter = std::chrono::milliseconds(500);
    /// A VM that does not lead says so at once: wait a little for an election, not for the whole resend time.
    Duration retryAfterHint = std::chrono::milliseconds(50);
    /// Longer than an election and than a VM's lease, which "apply --wait" waits out; shorter than the operators' tool waits.
    Duration giveUpAfter = std::chrono::seconds(10);
};

/// Commands and questions of this VM that another VM, the leader, decides: numbered calls, resent until answered or given up.
class Forwarder
{
public:
    using Answer = std::function<void(const Result<v1::ProposeReply> &)>;

    /// Calls are numbered from firstCall on, so that an answer to an earlier process of this VM matches nothing.
    Forwarder(ForwarderOptions options, std::uint64_t firstCall)
        : m_options(options)
        , m_nextCall(firstCall)
    {
    }

    /// Takes a request, without its call number. The answer comes once; Unavailable when nobody decided in time.
    void add(v1::ProposeRequest request, Answer answer, TimePoint now);
    /// The requests to send or resend now.
    std::vector<Outgoing> due(LeaderSearch &search, TimePoint now);
    /// An answer came, or a hint to the leader.
    void replied(const VmName &from, const v1::ProposeReply &reply, LeaderSearch &search, TimePoint now);

private:
    struct Call
    {
        v1::ProposeRequest request;
        Answer answer;
        TimePoint giveUp;
        TimePoint nextTry;
        VmName asked;
    };

    const ForwarderOptions m_options;
    std::uint64_t m_nextCall;
    std::map<std::uint64_t, Call> m_calls;
};

}

#pragma once

#include "common/result.h"
#include "control/leadersearch.h"

#include "peer.pb.h"

#include <functional>
#include <map>
#include <vector>

namespace cumindyke
{

/// An envelope that the task has to send to a VM.
struct OutgoingEnvelope
{
    VmName to;
    v1::Envelope envelope;
};

struct ForwarderOptions
{
    /// Time without a reply after which a request is resent: a lost request or reply shows only as silence. The id of the command makes the resend
    /// harmless.
    Duration resendTimeout = std::chrono::milliseconds(500);
    /// Delay of the next attempt after the reply of a VM that does not lead. Such a VM replies at once, so this allows for an election and is shorter
    /// than resendTimeout.
    Duration hintRetryDelay = std::chrono::milliseconds(50);
    /// Longer than an election and than a VM's lease, which "apply --wait" waits for; shorter than the timeout of the operators' tool.
    Duration requestTimeout = std::chrono::seconds(10);
};

/// Forwards commands and questions of this VM to the leader as numbered calls, and resends them until they are answered or have timed out.
class Forwarder
{
public:
    using Answer = std::function<void(const Result<v1::ProposeReply> &)>;

    /// Calls are numbered from firstCall on, so that a reply to an earlier process of this VM matches no call.
    Forwarder(ForwarderOptions options, std::uint64_t firstCall)
        : m_options(options)
        , m_nextCall(firstCall)
    {
    }

    /// Adds a request, whose call number is set here. The answer is called once, with Unavailable if no leader decided in time.
    void submit(v1::ProposeRequest request, Answer answer, TimePoint now);
    /// Returns the requests to send or resend now, and answers those that have timed out.
    std::vector<OutgoingEnvelope> dueRequests(LeaderSearch &search, TimePoint now);
    /// Handles a reply: an answer, or a hint that names the leader.
    void handleReply(const VmName &from, const v1::ProposeReply &reply, LeaderSearch &search, TimePoint now);

private:
    struct Call
    {
        v1::ProposeRequest request;
        Answer answer;
        TimePoint deadline;
        TimePoint nextAttemptAt;
        VmName target;
    };

    const ForwarderOptions m_options;
    std::uint64_t m_nextCall;
    std::map<std::uint64_t, Call> m_calls;
};

}

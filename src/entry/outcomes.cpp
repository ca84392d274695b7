#include "entry/outcomes.h"

#include "entry/headers.h"

namespace cumindyke
{

RequestEnd requestEndOf(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::NotRun:
        return RequestEnd::Refused;
    case RunOutcome::Unknown:
        return RequestEnd::Unknown;
    case RunOutcome::Ran:
        return RequestEnd::Failed;
    }
    return RequestEnd::Unknown;
}

v1::ClaimEnd::End claimEndOf(RequestEnd end)
{
    switch (end) {
    case RequestEnd::OnTime:
    case RequestEnd::Late:
        return v1::ClaimEnd::ANSWERED;
    case RequestEnd::Refused:
        return v1::ClaimEnd::NOT_RUN;
    case RequestEnd::Failed:
    case RequestEnd::Unknown:
        break;
    }
    return v1::ClaimEnd::OUTCOME_LOST;
}

/// The body is stored twice, in the request and in the exchange.
std::size_t retainedBytes(const CallerRequest &request)
{
    return 2 * request.body.size();
}

TokenCount estimatedWork(const CallerRequest &request)
{
    return TokenCount{request.promptTokens.value + request.maxAnswerTokens.value};
}

/// An earlier request with the same key may have run on another VM, so a VM that has not checked the key must not report "not run".
RunOutcome outcomeOfRefusal(const Exchange &exchange, const Error &error)
{
    const bool refusedUnchecked = error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Overloaded;
    return refusedUnchecked && !exchange.header(headers::IdempotencyKey).empty() ? RunOutcome::Unknown : RunOutcome::NotRun;
}

Error lostAnswerError(const RequestLifecycle &lifecycle)
{
    if (lifecycle.outcomeIfAbandoned() == RunOutcome::Ran) {
        return Error{ErrorKind::UpstreamFailed,
                     "the upstream ran the request partly and the rest of its answer was lost: resend the request only if it may run twice"};
    }
    return Error{ErrorKind::OutcomeUnknown, "the connection to the upstream was lost before the answer was whole: check before you send it again"};
}

}

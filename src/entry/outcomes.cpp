#include "entry/outcomes.h"

#include "entry/headers.h"

namespace cumindyke
{

RequestEnd endOf(RunOutcome outcome)
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

/// Of the body, which stands in the request and in the exchange.
std::size_t heldBytes(const CallerRequest &request)
{
    return 2 * request.body.size();
}

TokenCount workOf(const CallerRequest &request)
{
    return TokenCount{request.promptTokens.value + request.answerTokens.value};
}

/// An earlier sending under the same key may have run elsewhere: a VM that can't look must not say "not run".
RunOutcome outcomeOfRefusal(const Exchange &exchange, const Error &error)
{
    const bool refusedUnseen = error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Overloaded;
    return refusedUnseen && !exchange.header(headers::IdempotencyKey).empty() ? RunOutcome::Unknown : RunOutcome::NotRun;
}

Error lostAnswer(const RequestLife &life)
{
    if (life.outcomeIfGivenUp() == RunOutcome::Ran) {
        return Error{ErrorKind::UpstreamFailed, "the upstream ran the request in part and the rest of its answer is lost: send it again if it may run twice"};
    }
    return Error{ErrorKind::OutcomeUnknown, "the connection to the upstream was lost before the answer was whole: check before you send it again"};
}

}

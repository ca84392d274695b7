#pragma once

#include "entry/callerrequest.h"
#include "entry/exchange.h"
#include "entry/requestlifecycle.h"
#include "report/requestendcounters.h"

#include "control.pb.h"

/// Conversions between the outcomes in reports, claims and answers to callers, and estimates of a request's size.
namespace cumindyke
{

RequestEnd requestEndOf(RunOutcome outcome);
v1::ClaimEnd::End claimEndOf(RequestEnd end);
/// Returns the outcome to report with a request refused on arrival.
RunOutcome outcomeOfRefusal(const Exchange &exchange, const Error &error);
/// Returns the error for a request whose answer was lost on the way from the upstream.
Error lostAnswerError(const RequestLifecycle &lifecycle);
/// Memory that a request occupies until it ends.
std::size_t retainedBytes(const CallerRequest &request);
/// Prompt tokens and largest answer, for the organisation's token limit.
TokenCount estimatedWork(const CallerRequest &request);

}

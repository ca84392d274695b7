#pragma once

#include "entry/callerrequest.h"
#include "entry/exchange.h"
#include "entry/requestlifecycle.h"
#include "report/requestendcounters.h"

#include "control.pb.h"

/// What an outcome is called for the report, the claims and the caller.
namespace cumindyke
{

RequestEnd endOf(RunOutcome outcome);
v1::ClaimEnd::End claimEndOf(RequestEnd end);
RunOutcome outcomeOfRefusal(const Exchange &exchange, const Error &error);
Error lostAnswer(const RequestLife &life);
std::size_t heldBytes(const CallerRequest &request);
TokenCount workOf(const CallerRequest &request);

}

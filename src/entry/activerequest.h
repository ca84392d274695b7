#pragma once

#include "entry/answers.h"
#include "entry/callerrequest.h"
#include "entry/requestlife.h"
#include "policy/capacity.h"
#include "upstream/upstreamcall.h"

#include <memory>
#include <optional>

namespace cumindyke
{

/// A request between its admission and its final answer.
struct ActiveRequest
{
    CallerRequest request;
    RequestLife life;
    std::shared_ptr<Exchange> exchange;
    /// Held from the dispatch to the end, or until the dispatch is proved not to have run.
    std::optional<Slot> slot;
    std::optional<Answering> answering;
    std::unique_ptr<UpstreamCall> call;
    AnswerHead head;
    /// Body of an upstream's refusal or failure, bounded.
    std::string failureBody;
};

}

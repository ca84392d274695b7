#pragma once

#include "entry/callerrequest.h"
#include "entry/requestlifecycle.h"
#include "entry/upstreamattempt.h"
#include "policy/capacity.h"

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
    /// Tokens of the answer that have come; 0 for a plain service's.
    TokenCount answerTokens;
    std::unique_ptr<UpstreamRun> run;
};

}

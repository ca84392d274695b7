#pragma once

#include "entry/callerrequest.h"
#include "entry/requestlifecycle.h"
#include "entry/suspecttracker.h"
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
    RequestLifecycle lifecycle;
    std::shared_ptr<Exchange> exchange;
    /// Acquired at the dispatch; released when the request ends or its attempt is proved not to have run.
    std::optional<Slot> slot;
    /// Tokens of the answer received so far; 0 for a plain service.
    TokenCount answerTokens;
    std::unique_ptr<UpstreamAttempt> attempt;
    SuspectState suspectState;

    RequestContent content() const
    {
        return RequestContent{.organisation = request.organisation.value,
                              .method = request.method,
                              .host = request.service.value,
                              .target = request.target,
                              .body = request.body,
                              .service = request.service.value,
                              .promptFormat = request.form == AnswerForm::Plain ? PromptFormat::None : PromptFormat::CompletionBody,
                              .prompt = request.body};
    }
};

}

#pragma once

#include "common/result.h"
#include "common/types.h"
#include "domain/declarations.h"
#include "entry/exchange.h"

namespace cumindyke
{

/// The form of the answer that a caller asked for.
enum class AnswerForm {
    Streamed, ///< events as the engine makes them
    Assembled, ///< one JSON object at the end
    Plain, ///< a plain service's answer, as it is
};

/// A request that was understood and allowed: who, what, how important, until when.
struct CallerRequest
{
    RequestId id;
    OrganisationName organisation;
    ServiceName service;
    TierName tier;
    TierRank rank;
    TimePoint arrival;
    TimePoint deadline;
    AnswerForm form = AnswerForm::Streamed;
    /// "completions", "chat", or a plain service's first path segment.
    std::string route;
    /// What goes to the upstream.
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    TokenCount promptTokens;
    TokenCount answerTokens;
    /// Hash of the prompt's beginning: requests that share it profit from the same upstream's prefix cache.
    std::uint64_t prefix = 0;
};

/// Reads a request for "/v1/completions", "/v1/chat/completions" or "/services/NAME/…" under the declarations in force.
/// Errors: BadRequest, Unauthorised, Forbidden, NotFound.
Result<CallerRequest> parseCallerRequest(const Exchange &exchange, const Declarations &declarations, RequestId id, TimePoint now);

/// The organisation that a request's bearer key belongs to. Error: Unauthorised.
Result<const Organisation *> authenticate(const Exchange &exchange, const Declarations &declarations);

}

#pragma once

#include "common/result.h"
#include "common/types.h"
#include "domain/declarations.h"
#include "entry/exchange.h"

namespace cumindyke
{

/// The form of answer that a caller requested.
enum class AnswerForm {
    Streamed, ///< events, forwarded as the engine generates them
    Assembled, ///< one JSON object, sent when the answer is complete
    Plain, ///< a plain service's answer, unchanged
};

/// A parsed and authorised request of a caller.
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
    /// "completions", "chat", or the first path segment of a call to a plain service.
    std::string route;
    /// The HTTP request that is sent to the upstream.
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    /// Estimated from the length of the prompt.
    TokenCount promptTokens;
    /// The caller's max_tokens, or a default.
    TokenCount maxAnswerTokens;
    /// Hash of the first bytes of the prompt: requests with the same value benefit from one upstream's prefix cache.
    std::uint64_t prefix = 0;
};

/// Parses a request for "/v1/completions", "/v1/chat/completions" or "/services/NAME/…" under the declarations in force.
/// Errors: BadRequest, Unauthorised, Forbidden, NotFound.
Result<CallerRequest> parseCallerRequest(const Exchange &exchange, const Declarations &declarations, RequestId id, TimePoint now);

/// Returns the organisation that the request's bearer key belongs to. Error: Unauthorised.
Result<const Organisation *> authenticate(const Exchange &exchange, const Declarations &declarations);

}

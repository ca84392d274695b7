#pragma once

#include "entry/exchange.h"
#include "proxy/proxyrequest.h"

#include <memory>

namespace cumindyke
{

/// The reason why a request is refused without being placed.
struct Refusal
{
    Error error;
    /// When a retry may succeed; none: it won't.
    std::optional<Duration> retryAfter;
};

/// Parses and validates a caller's request against the routes in force. Errors of a refusal: BadRequest, NotFound (no route), Unauthorised (the key
/// belongs to no organisation). The request's times count from its arrival.
std::variant<ParsedRequest, Refusal>
parseRequest(const Exchange &exchange, const ProxyHeaders &headers, const std::shared_ptr<const RouteIndex> &routes, TimePoint arrived);

}

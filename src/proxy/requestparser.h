#pragma once

#include "entry/exchange.h"
#include "proxy/proxyrequest.h"

#include <memory>

namespace cumindyke
{

/// Why a request is answered at once.
struct Refusal
{
    Error error;
    /// When a later try may pass; none: it won't.
    std::optional<Duration> retryAfter;
};

/// Reads and checks a caller's request against the routes in force. The refusal's kinds: BadRequest, NotFound (no route), Unauthorised (no
/// organisation holds the key). Its times count from the arrival.
std::variant<ParsedRequest, Refusal>
parseRequest(const Exchange &exchange, const ProxyHeaders &headers, const std::shared_ptr<const RouteIndex> &routes, TimePoint arrived);

}

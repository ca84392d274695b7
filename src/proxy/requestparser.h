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

/// The fields of a head that RequestReader has accepted.
class HeadFields
{
public:
    explicit HeadFields(std::string_view head)
        : m_head(head)
    {
    }
    /// Returns the value of the first field with the name, or an empty string.
    std::string header(const char *name) const;

private:
    std::string_view m_head;
};

/// Returns why parseRequest() will refuse a request with this head, if it is certain.
std::optional<Refusal> refusalOf(const HeadFields &fields, std::string_view path, const ProxyHeaders &headers, const RouteIndex &routes);

/// Parses and validates a caller's request against the routes in force. Errors of a refusal: BadRequest, NotFound (no route), Unauthorised (the key
/// belongs to no organisation). The request's times count from its arrival.
std::variant<ParsedRequest, Refusal>
parseRequest(const Exchange &exchange, const ProxyHeaders &headers, const std::shared_ptr<const RouteIndex> &routes, TimePoint arrived);

}

#pragma once

#include "upstream/upstreamcall.h"

#include <string>
#include <string_view>

namespace cumindyke
{

std::string toLower(std::string_view text);

/// Whether the header concerns a single connection (RFC 9110, 7.6.1) or is part of the framing, which is created anew for each connection.
bool isHopHeader(std::string_view name);

/// Returns the value of the header, in any case of its name, or null.
const std::string *headerOf(const AnswerHead &head, std::string_view name);

/// Whether the body is an event stream. On a route for streams an upstream may also answer with a plain body.
bool hasEvents(const AnswerHead &head);
/// Whether the status is 2xx.
bool isSuccess(const AnswerHead &head);

}

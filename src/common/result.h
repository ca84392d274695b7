#pragma once

#include <string>
#include <utility>
#include <variant>

namespace cumindyke
{

/// What went wrong, as callers and operators see it. Each kind has a page in docs/OPERATIONS.md.
enum class ErrorKind {
    BadRequest, ///< the request can't be understood; sending it again won't help
    Unauthorised, ///< no organisation has the key
    Forbidden, ///< the organisation may not do this
    NotFound, ///< no such service, version, upstream or move
    TooLarge, ///< over a declared or built-in size
    Conflict, ///< another command won under the same revision, or a key was used with another payload
    Invalid, ///< settings or declarations break a rule
    Overloaded, ///< shed or refused for capacity; a later try may pass
    Unavailable, ///< no quorum, no lease, no upstream, or a shutdown; a later try may pass
    DeadlinePassed, ///< the time the caller gave can't be met or is over
    OutcomeUnknown, ///< the upstream may or may not have run the request
    UpstreamFailed, ///< the upstream ran the request and failed
    Storage, ///< the disk refused or holds corrupt data
    Internal, ///< a fault in cumindyke itself
};

/// The kind's name as it stands in JSON, logs and metrics, for example "bad-request".
const char *toString(ErrorKind kind);

/// A failure: its kind, and a message that ends with the remedy.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;

    auto operator<=>(const Error &) const = default;
};

/// A value, or why there is none.
template<typename T>
using Result = std::variant<T, Error>;

/// The value of a Result that carries none.
struct Done
{
    auto operator<=>(const Done &) const = default;
};

template<typename T>
bool ok(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

template<typename T>
T &valueOf(Result<T> &result)
{
    return std::get<T>(result);
}

template<typename T>
const T &valueOf(const Result<T> &result)
{
    return std::get<T>(result);
}

template<typename T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<Error>(result);
}

}

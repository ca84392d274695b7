#pragma once

#include <string>
#include <utility>
#include <variant>

namespace cumindyke
{

/// Kinds of errors, as reported to callers and operators. Each kind has a page in docs/OPERATIONS.md.
enum class ErrorKind {
    BadRequest, ///< the request is malformed; resending it won't help
    Unauthorised, ///< no organisation has the key
    Forbidden, ///< the organisation may not do this
    NotFound, ///< no such service, version, upstream or move
    TooLarge, ///< larger than a declared or built-in limit
    Conflict, ///< another command won under the same revision, or a key was used with another payload
    Invalid, ///< settings or declarations break a rule
    Overloaded, ///< shed or refused for lack of capacity; a later attempt may succeed
    Unavailable, ///< no quorum, no lease, no upstream, or a shutdown; a later attempt may succeed
    DeadlinePassed, ///< the caller's deadline can't be met or has passed
    OutcomeUnknown, ///< the upstream may or may not have run the request
    UpstreamFailed, ///< the upstream ran the request and failed
    Storage, ///< a disk operation failed or the stored data is corrupt
    StorageFull, ///< the disk takes no more data; the same write may succeed later
    Internal, ///< a fault in cumindyke itself
};

/// Returns the kind's name as used in JSON, logs and metrics, for example "bad-request".
const char *toString(ErrorKind kind);

/// An error: its kind, and a message that ends with the remedy.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;

    auto operator<=>(const Error &) const = default;
};

/// A value, or the error that explains why there is none.
template<typename T>
using Result = std::variant<T, Error>;

/// The value of a Result that has no value to return.
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

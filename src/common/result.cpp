#include "common/result.h"

namespace cumindyke
{

const char *toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadRequest:
        return "bad-request";
    case ErrorKind::Unauthorised:
        return "unauthorised";
    case ErrorKind::Forbidden:
        return "forbidden";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::TooLarge:
        return "too-large";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Invalid:
        return "invalid";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::DeadlinePassed:
        return "deadline-passed";
    case ErrorKind::OutcomeUnknown:
        return "outcome-unknown";
    case ErrorKind::UpstreamFailed:
        return "upstream-failed";
    case ErrorKind::Storage:
        return "storage";
    case ErrorKind::StorageFull:
        return "storage-full";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

}

#include "entry/bodyadmission.h"

#include "entry/exchange.h"
#include "entry/headers.h"

#include <cstdlib>

namespace cumindyke
{

HeadRefusal makeHeadRefusal(const std::string &status, const std::string &fields, const std::string &reason, const std::string &body)
{
    return HeadRefusal{.status = std::atoi(status.c_str()),
                       .reason = reason,
                       .text = "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + fields + headers::Outcome + ": " + toString(RunOutcome::NotRun)
                           + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

}

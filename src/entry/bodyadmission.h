#pragma once

#include "entry/bodybudget.h"
#include "entry/requestreader.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cumindyke
{

/// The answer to a request whose body is not read.
struct HeadRefusal
{
    /// For the log.
    int status = 0;
    std::string reason;
    /// The complete answer, which ends the connection.
    std::string text;
};

/// What is done about a request's body when its head has been received.
struct BodyAdmission
{
    enum class Kind { Read, Wait, Refuse };

    Kind kind = Kind::Read;
    std::shared_ptr<BodyReservation> reservation;
    HeadRefusal refusal;
};

/// Called with the head's bytes; not for requests without a body.
using AdmitBody = std::function<BodyAdmission(const RequestHead &head, std::string_view bytes)>;

/// Returns an answer that ends the connection. "status" is the code and the reason phrase, "fields" are lines of the head.
HeadRefusal makeHeadRefusal(const std::string &status, const std::string &fields, const std::string &reason, const std::string &body);

}

#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cumindyke
{

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// How the end of an answer's body is recognised (RFC 9112, 6.3).
enum class BodyFraming {
    Empty, ///< the answer has no body
    Length, ///< the head gives the length
    Chunked,
    ConnectionClose, ///< the body ends with the connection, so a reset alone shows that it is incomplete
};
const char *toString(BodyFraming framing);

struct AnswerHead
{
    int status = 0;
    std::string contentType;
    HeaderList headers;
    BodyFraming framing = BodyFraming::Empty;
};

}

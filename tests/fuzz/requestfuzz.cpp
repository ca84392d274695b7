#include "../support/requestmodel.h"
#include "entry/requestreader.h"
#include "upstream/answerparser.h"

#include <cstdint>
#include <cstdlib>
#include <string>

namespace
{

using namespace cumindyke;
using Step = RequestReader::Step;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

struct ReadRequest
{
    bool isWhole = false;
    bool isRefused = false;
    std::string method;
    std::string target;
    std::string body;
    /// Where the body begins and where the request ends.
    std::size_t headLength = 0;
    std::size_t length = 0;
    bool isPlain = false;

    bool operator==(const ReadRequest &) const = default;
};

ReadRequest readInPieces(std::string_view bytes, std::size_t step)
{
    RequestReader reader;
    ReadRequest request;
    std::size_t taken = 0;
    while (taken < bytes.size() && !request.isWhole && !request.isRefused) {
        std::string_view piece = bytes.substr(taken, step);
        const std::size_t before = piece.size();
        const Step found = reader.next(piece);
        taken += before - piece.size();
        if (found == Step::Head) {
            request.headLength = taken;
            reader.beginBody();
        } else if (found == Step::Body) {
            request.body += reader.body();
        }
        request.isWhole = reader.isWhole();
        request.isRefused = found == Step::Refused;
    }
    if (request.isWhole) {
        request.method = reader.head().method;
        request.target = reader.head().target;
        request.length = taken;
        request.isPlain = reader.head().isPlain;
    }
    return request;
}

/// The model and the reader agree about what is one request.
void checkModel(const std::string &bytes, const ReadRequest &read)
{
    using Kind = test::ModelRequest::Kind;
    const test::ModelRequest model = test::RequestModel::read(bytes);
    require(read.isWhole == (model.kind == Kind::Whole));
    require(read.isRefused == (model.kind == Kind::Refused));
    if (!read.isWhole) {
        return;
    }
    require(read.method == model.method && read.target == model.target && read.body == model.body && read.length == model.length);
    if (model.hasFraming) {
        // As strict as for answers: the same fields and body are one answer.
        AnswerParser parser("GET");
        std::string answer = bytes;
        answer.erase(0, answer.find_first_not_of("\r\n"));
        answer.replace(0, answer.find("\r\n"), "HTTP/1.1 200 OK");
        std::string_view rest = answer;
        std::string body;
        for (auto found = AnswerParser::Step::Head; found != AnswerParser::Step::Whole;) {
            found = parser.next(rest);
            require(found != AnswerParser::Step::Broken && found != AnswerParser::Step::NeedsMore);
            body += found == AnswerParser::Step::Body ? parser.body() : std::string_view();
        }
        require(body == read.body && rest.size() == bytes.size() - read.length);
    }
    // A lax reader is given a head that needs no care, and that says the same.
    const std::string canonical = canonicalHead(std::string_view(bytes).substr(0, read.headLength), "/a") + bytes.substr(read.headLength);
    const ReadRequest again = readInPieces(canonical, canonical.size());
    require(again.isWhole && again.method == read.method && again.target == "/a" && again.body == read.body);
    require(again.isPlain || canonical.find('\t') != std::string::npos);
}

}

/// The first byte says in what pieces the others arrive. What is one request must not depend on that, and be the same to a plain model of RFC 9112: else a part
/// of one caller's body runs as a request.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const std::string bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const ReadRequest whole = readInPieces(bytes, bytes.size());
    const ReadRequest pieces = readInPieces(bytes, data[0] % 16 + 1);
    require(whole == pieces);
    checkModel(bytes, whole);
    return 0;
}

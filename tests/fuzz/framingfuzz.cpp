#include "upstream/answerparser.h"
#include "upstream/chunkscanner.h"
#include "upstream/eventboundary.h"
#include "upstream/eventstream.h"
#include "upstream/secondanswer.h"
#include "upstream/streamnumbering.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <tuple>

namespace
{

using namespace cumindyke;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

/// What is found must not depend on how the body is split.
template<typename Scanner>
Scanner scannedInPieces(std::string_view body, std::size_t step)
{
    Scanner scanner;
    for (std::size_t start = 0; start < body.size(); start += step) {
        scanner.scan(body.substr(start, step));
    }
    return scanner;
}

void checkChunks(std::string_view body, std::size_t step)
{
    const auto whole = scannedInPieces<ChunkScanner>(body, body.size() + 1);
    const auto pieces = scannedInPieces<ChunkScanner>(body, step);
    require(whole.isComplete() == pieces.isComplete() && whole.isBroken() == pieces.isBroken());
    // Any bytes are a whole body once they are sent as chunks, and none without the last chunk.
    std::string encoded;
    for (std::size_t start = 0; start < body.size(); start += step) {
        const std::string_view chunk = body.substr(start, step);
        encoded += std::to_string(chunk.size()) + "\r\n" + std::string(chunk) + "\r\n";
    }
    require(!scannedInPieces<ChunkScanner>(encoded, step).isComplete());
    require(scannedInPieces<ChunkScanner>(encoded + "0\r\n\r\n", step).isComplete());
}

struct ParsedAnswer
{
    bool hasHead = false;
    bool isWhole = false;
    bool isBroken = false;
    bool endsWithConnection = false;
    std::string body;

    bool operator==(const ParsedAnswer &) const = default;
};

ParsedAnswer parsedInPieces(std::string_view received, std::size_t step)
{
    using Step = AnswerParser::Step;
    AnswerParser parser("POST");
    ParsedAnswer answer;
    for (std::size_t start = 0; start < received.size(); start += step) {
        std::string_view bytes = received.substr(start, step);
        for (Step found = parser.next(bytes); found != Step::NeedsMore; found = parser.next(bytes)) {
            answer.hasHead = answer.hasHead || found == Step::Head;
            answer.isBroken = found == Step::Broken;
            answer.isWhole = found == Step::Whole;
            if (answer.isBroken || answer.isWhole) {
                return answer;
            }
            if (found == Step::Body) {
                answer.body += parser.body();
            }
        }
    }
    answer.endsWithConnection = parser.endsWithConnection();
    return answer;
}

void checkAnswer(std::string_view received, std::size_t step)
{
    require(parsedInPieces(received, received.size() + 1) == parsedInPieces(received, step));
    const std::string body(received);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    // What follows the end of an answer is no part of it.
    const ParsedAnswer answer = parsedInPieces(head + body + head + body, step);
    require(answer.isWhole && answer.body == body);
    require(!parsedInPieces(head + body.substr(0, body.size() / 2), step).isWhole || body.empty());
}

void checkEvents(std::string_view body, std::size_t step)
{
    EventBoundary boundary;
    std::size_t wholeLength = 0;
    for (std::size_t start = 0; start < body.size(); start += step) {
        const std::size_t end = boundary.scan(body.substr(start, step));
        wholeLength = end > 0 ? start + end : wholeLength;
    }
    require(boundary.isWithinEvent() == (wholeLength < body.size()));
    // The parser finds no event in what follows the last boundary.
    EventStreamParser all;
    EventStreamParser whole;
    require(all.feed(body) == whole.feed(body.substr(0, wholeLength)));
}

/// What is found, and the bytes before it, must not depend on how the body is split.
void checkSecondAnswer(std::string_view body, std::size_t step)
{
    const auto scanned = [body](std::size_t size) {
        SecondAnswer second("x-id");
        std::string returned;
        for (std::size_t start = 0; start < body.size(); start += size) {
            returned += second.scan(body.substr(start, size));
            require(second.heldBytes() <= SecondAnswer::MaxHeadBytes);
        }
        const bool endsWithinHead = second.endsWithinHead();
        returned += second.takeRest();
        return std::tuple(returned, second.isFound(), endsWithinHead);
    };
    const auto whole = scanned(body.size() + 1);
    require(whole == scanned(step));
    const auto &[returned, isFound, endsWithinHead] = whole;
    require(body.starts_with(returned) && (isFound || returned == body));
    // Behind any body, a second head is found.
    SecondAnswer second("x-id");
    second.scan(body);
    second.scan("\r\rHTTP/1.1 200 OK\r\nx-id: 1\r\n");
    require(second.isFound());
}

/// Each byte is an event: its id, none, or the start of the next answer. The ids that pass increase over all answers.
void checkNumbering(std::string_view events, EventIds ids)
{
    constexpr unsigned NextAnswer = 31;
    StreamNumbering numbering(ids);
    std::uint64_t next = 0;
    bool isBroken = false;
    for (const char event : events) {
        const unsigned kind = static_cast<unsigned char>(event) % (NextAnswer + 1);
        if (kind == NextAnswer) {
            numbering.startAnswer();
            isBroken = false;
        } else if (kind == 0) {
            require(isBroken || numbering.judge("") != EventVerdict::Break);
        } else if (!isBroken) {
            const std::uint64_t number = kind - 1;
            const EventVerdict verdict = numbering.judge(std::to_string(number));
            require(verdict != EventVerdict::Pass || (number >= next && (ids == EventIds::Increasing || number == next)));
            require(verdict != EventVerdict::Drop || number < next);
            isBroken = verdict == EventVerdict::Break;
            next = verdict == EventVerdict::Pass ? number + 1 : next;
        }
    }
    require(numbering.next() == next);
}

}

/// The framing of answers: heads and bodies, chunks, second answers, and the events and numbers of a stream.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view body(reinterpret_cast<const char *>(data), size);
    const std::size_t step = size % 9 + 1;
    checkChunks(body, step);
    checkAnswer(body, step);
    checkEvents(body, step);
    checkSecondAnswer(body, step);
    checkNumbering(body, EventIds::FromZero);
    checkNumbering(body, EventIds::Increasing);
    return 0;
}

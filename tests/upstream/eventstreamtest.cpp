#include "upstream/eventstream.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

const std::string Body = "id: 0\ndata: {\"a\":1}\n\nid: 1\r\nevent: note\r\ndata: one\r\ndata: two\r\n\r\n: a comment\n\ndata: [DONE]\n\n";
const std::vector<StreamEvent> Events{
    {.id = "0", .name = "", .data = "{\"a\":1}"},
    {.id = "1", .name = "note", .data = "one\ntwo"},
    {.id = "", .name = "", .data = "[DONE]"},
};

}

TEST_CASE("parsed events do not depend on how the body is split")
{
    for (std::size_t length = 1; length <= Body.size(); ++length) {
        EventStreamParser parser;
        std::vector<StreamEvent> events;
        for (std::size_t start = 0; start < Body.size(); start += length) {
            for (const StreamEvent &event : parser.feed(std::string_view(Body).substr(start, length))) {
                events.push_back(event);
            }
        }
        REQUIRE(events == Events);
    }
}

TEST_CASE("a serialized event parses to the same event")
{
    for (const StreamEvent &event : Events) {
        EventStreamParser parser;
        CHECK(parser.feed(serialized(event)) == std::vector<StreamEvent>{event});
    }
}

TEST_CASE("an event without end breaks the stream and does not exhaust memory")
{
    EventStreamParser parser;
    const std::string piece(64 << 10, 'x');
    for (int i = 0; i < 100 && !parser.isBroken(); ++i) {
        CHECK(parser.feed(i == 0 ? "data: " + piece : piece).empty());
    }
    CHECK(parser.isBroken());
    CHECK(parser.feed("\n\ndata: late\n\n").empty());
}

// Found by fuzzing (corpus eventstream/lone-carriage-return): a line that ended in two carriage returns kept one in its data, so the caller
// got an event that differs from the engine's. A carriage return alone ends a line.
TEST_CASE("a lone carriage return ends a line and is not part of an event")
{
    EventStreamParser parser;
    const std::vector<StreamEvent> expected{{.id = "", .name = "", .data = "one\ntwo"}};
    CHECK(parser.feed("data: one\rdata: two\r\r\n") == expected);
    CHECK(parser.feed("data: t\r\r\nwo\n\n") == std::vector<StreamEvent>{{.id = "", .name = "", .data = "t"}});
}

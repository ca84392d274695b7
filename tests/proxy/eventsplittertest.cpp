#include "proxy/eventsplitter.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cumindyke;

TEST_CASE("only whole events are returned, with their bytes unchanged")
{
    EventSplitter splitter;
    CHECK(splitter.extractWholeEvents("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.isWithinEvent());
    CHECK(splitter.lastEventId() == "1");
    CHECK(splitter.extractWholeEvents("ta: b\n").empty());
    CHECK(splitter.extractWholeEvents("\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastEventId() == "2");
    CHECK_FALSE(splitter.isWithinEvent());
}

// Guards against half an event followed by the rest of another. The upstream failed within event 2, and another upstream resumes after event 1 with
// the whole of event 2.
TEST_CASE("a partial event is discarded before another upstream resumes")
{
    EventSplitter splitter;
    splitter.extractWholeEvents("id: 1\ndata: a\n\nid: 2\ndata: ha");
    splitter.startAnswer();
    CHECK(splitter.extractWholeEvents("id: 2\ndata: half\n\n") == "id: 2\ndata: half\n\n");
}

TEST_CASE("lines of events may end with CRLF")
{
    EventSplitter splitter;
    CHECK(splitter.extractWholeEvents("id: 7\r\ndata: a\r\n\r\nid") == "id: 7\r\ndata: a\r\n\r\n");
    CHECK(splitter.lastEventId() == "7");
}

// Guards against an event whose CRLF is split between two reads and of which the caller gets a part.
TEST_CASE("events may end with CR, LF or CRLF, and be split anywhere")
{
    const std::string body = "id: 1\rdata: a\r\rid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t split = 0; split <= body.size(); ++split) {
        EventSplitter splitter;
        const std::string first = splitter.extractWholeEvents(std::string_view(body).substr(0, split));
        CAPTURE(split);
        CHECK(first + splitter.extractWholeEvents(std::string_view(body).substr(split)) == body);
        CHECK_FALSE(splitter.isWithinEvent());
        CHECK(splitter.lastEventId() == "3");
    }
}

// Guards against an upstream that never ends an event and uses up the VM's memory.
TEST_CASE("an event over the size limit is too long")
{
    EventSplitter splitter;
    const std::string piece(EventSplitter::MaxEventBytes, 'x');
    CHECK(splitter.extractWholeEvents(piece).empty());
    CHECK_FALSE(splitter.isTooLong());
    CHECK(splitter.extractWholeEvents("x").empty());
    CHECK(splitter.isTooLong());
}

// Guards against duplicate events in a resumed stream, and against a comment or an empty line that is taken for an event.
TEST_CASE("a resumed answer's events that were returned before are left out")
{
    EventSplitter splitter;
    splitter.extractWholeEvents("id: 1\ndata: a\n\n: ping\n\nid: 2\r\ndata: b\r\n\r\n");
    splitter.startAnswer();
    CHECK(splitter.extractWholeEvents("id:1\ndata: a\n\n: ping\n\nid: 2\ndata: b\n\nid: 3\nda") == ": ping\n\n");
    CHECK(splitter.extractWholeEvents("ta: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK_FALSE(splitter.isOutOfOrder());
}

// Guards against a stream that is sent twice on one connection.
TEST_CASE("nothing is returned from the event on that goes back")
{
    EventSplitter splitter;
    CHECK(splitter.extractWholeEvents("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 1\ndata: a\n\nid: 3\ndata: c\n\n") == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(splitter.isOutOfOrder());
    CHECK(splitter.extractWholeEvents("id: 4\ndata: d\n\n").empty());
    splitter.startAnswer();
    CHECK_FALSE(splitter.isOutOfOrder());
    CHECK(splitter.extractWholeEvents("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
}

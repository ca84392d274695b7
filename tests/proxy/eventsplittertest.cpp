#include "proxy/eventsplitter.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

TEST_CASE("only whole events are returned, with their bytes unchanged")
{
    EventSplitter splitter;
    CHECK(splitter.extractWholeEvents("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.hasPartial());
    CHECK(splitter.lastEventId() == "1");
    CHECK(splitter.extractWholeEvents("ta: b\n").empty());
    CHECK(splitter.extractWholeEvents("\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastEventId() == "2");
    CHECK_FALSE(splitter.hasPartial());
}

// Guards against half an event followed by the rest of another. The upstream failed within event 2, and another upstream resumes after event 1 with
// the whole of event 2.
TEST_CASE("a partial event is discarded before another upstream resumes")
{
    EventSplitter splitter;
    splitter.extractWholeEvents("id: 1\ndata: a\n\nid: 2\ndata: ha");
    splitter.discardPartial();
    CHECK(splitter.extractWholeEvents("id: 2\ndata: half\n\n") == "id: 2\ndata: half\n\n");
}

TEST_CASE("lines of events may end with CRLF")
{
    EventSplitter splitter;
    CHECK(splitter.extractWholeEvents("id: 7\r\ndata: a\r\n\r\nid") == "id: 7\r\ndata: a\r\n\r\n");
    CHECK(splitter.lastEventId() == "7");
}

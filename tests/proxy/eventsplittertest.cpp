#include "proxy/eventsplitter.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

TEST_CASE("only whole events pass and their bytes stay as they are")
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

// What the caller sees: half an event, then the rest of another one. The upstream was lost in the middle of event 2, and another goes on
// after event 1 with the whole of event 2.
TEST_CASE("a part of an event is forgotten before another upstream goes on")
{
    EventSplitter splitter;
    splitter.extractWholeEvents("id: 1\ndata: a\n\nid: 2\ndata: ha");
    splitter.discardPartial();
    CHECK(splitter.extractWholeEvents("id: 2\ndata: half\n\n") == "id: 2\ndata: half\n\n");
}

TEST_CASE("events may end their lines with a return as well")
{
    EventSplitter splitter;
    CHECK(splitter.extractWholeEvents("id: 7\r\ndata: a\r\n\r\nid") == "id: 7\r\ndata: a\r\n\r\n");
    CHECK(splitter.lastEventId() == "7");
}

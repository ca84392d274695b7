#include "upstream/eventboundary.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cumindyke;

namespace
{

/// Scans the body in pieces of this size.
EventBoundary scanned(std::string_view body, std::size_t pieceSize)
{
    EventBoundary boundary;
    for (std::size_t begin = 0; begin < body.size(); begin += pieceSize) {
        boundary.scan(body.substr(begin, pieceSize));
    }
    return boundary;
}

}

TEST_CASE("an event ends with an empty line, however the body is split and whichever line ends it has")
{
    for (const std::string lineEnd : {"\n", "\r\n", "\r"}) {
        std::string event = "id: 1";
        event.append(lineEnd).append("data: a").append(lineEnd).append(lineEnd);
        const std::string body = event + event;
        for (std::size_t length = 0; length <= body.size(); ++length) {
            // The LF of the last CRLF may be missing: the event has ended with the CR.
            const bool isWhole = length % event.size() == 0 || (lineEnd == "\r\n" && length % event.size() == event.size() - 1);
            for (const std::size_t pieceSize : {1, 2, 3, 100}) {
                CAPTURE(lineEnd, length, pieceSize);
                CHECK(scanned(std::string_view(body).substr(0, length), pieceSize).isWithinEvent() != isWhole);
            }
        }
    }
}

TEST_CASE("the position after the last whole event is found, and empty lines between events belong to none")
{
    EventBoundary boundary;
    CHECK(boundary.scan("data: a\n\ndata") == 9);
    CHECK(boundary.scan(": b\n") == 0);
    CHECK(boundary.scan("\n\n") == 2);
    CHECK_FALSE(boundary.isWithinEvent());
    CHECK(boundary.scan("") == 0);
    boundary.scan("data");
    boundary.reset();
    CHECK_FALSE(boundary.isWithinEvent());
}

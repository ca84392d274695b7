#include "upstream/secondanswer.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

const std::string SecondHead = "HTTP/1.1 200 OK\r\nDate: today\r\nX-Request-Id: 7\r\n\r\nsecond";

struct Scanned
{
    std::string body;
    bool isFound = false;
    bool endsWithinHead = false;

    bool operator==(const Scanned &) const = default;
};

Scanned scan(std::string_view bytes, std::size_t step)
{
    SecondAnswer second("x-request-id");
    Scanned scanned;
    for (std::size_t start = 0; start < bytes.size(); start += step) {
        scanned.body += second.scan(bytes.substr(start, step));
        CHECK(second.heldBytes() <= SecondAnswer::MaxHeadBytes);
    }
    scanned.isFound = second.isFound();
    scanned.endsWithinHead = second.endsWithinHead();
    scanned.body += second.takeRest();
    return scanned;
}

/// However the bytes are cut by reads.
void checkScanned(const std::string &bytes, const Scanned &expected)
{
    CAPTURE(bytes);
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        CAPTURE(step);
        const Scanned scanned = scan(bytes, step);
        CHECK(scanned.body == expected.body);
        CHECK(scanned.isFound == expected.isFound);
        CHECK(scanned.endsWithinHead == expected.endsWithinHead);
    }
}

}

// Guards against a second answer's bytes at the end of the first, cut anywhere by reads.
TEST_CASE("a second head is found however it is cut, and nothing of it returned")
{
    for (const std::string &body : {std::string(), std::string("whole"), std::string("line\n"), std::string("HHTTP/1.1 20")}) {
        checkScanned(body + SecondHead, {.body = body, .isFound = true});
        checkScanned(body + "HTTP/1.0 503\nx-REQUEST-id:", {.body = body, .isFound = true});
    }
}

// Guards against a sound body that is taken for two answers.
TEST_CASE("a status line without the header of a request's id is body")
{
    for (const char *body : {"HTTP/1.1 200 OK",
                             "HTTP/1.1 200 OK\r\n",
                             "HTTP/1.1 200 OK\r\nDate: today\r\n\r\nX-Request-Id: 7\r\n",
                             "HTTP/1.1 200 OK\nX-Request-Id 7\n",
                             "HTTP/1.1 200 OK\r\rX-Request-Id: 7\r\n",
                             "HTTP/2.1 200 OK\r\nX-Request-Id: 7\r\n",
                             "HTTP/1.1 20x OK\r\nX-Request-Id: 7\r\n",
                             "HTTP/1.1 2000\r\nX-Request-Id: 7\r\n",
                             "X-Request-Id: 7\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nDate: HTTP/1.1 200 OK\r\n\r\n"}) {
        checkScanned(body, {.body = body});
    }
}

// Guards against a second answer that the connection's end cuts before the header that tells it.
TEST_CASE("an answer that ends within header lines is told")
{
    checkScanned("wholeHTTP/1.1 200 OK\r\nDate: today\r\nX-Req", {.body = "wholeHTTP/1.1 200 OK\r\nDate: today\r\nX-Req", .endsWithinHead = true});
}

// Guards against unbounded memory and against an answer that is held back: header lines without end are body.
TEST_CASE("a head over the size limit is body")
{
    std::string body = "HTTP/1.1 200 OK\r\n";
    while (body.size() <= SecondAnswer::MaxHeadBytes) {
        body += "Date: today\r\n";
    }
    for (const std::size_t step : {std::size_t(1), std::size_t(1000), body.size()}) {
        CHECK(scan(body, step) == Scanned{.body = body});
    }
    CHECK(scan(body + SecondHead, 1000) == Scanned{.body = body, .isFound = true});
}

// Guards against events that are held back: the empty line at an event's end also ends a head.
TEST_CASE("a whole event that looks like a head is not held back")
{
    for (const std::string event : {"data: HTTP/1.1 200 OK\n\n", "data: HTTP/1.1 200 OK\r\ndata: b\r\n\r\n", "data: HTTP/1.1 200 OK\r\r"}) {
        SecondAnswer second("X-Request-Id");
        CHECK(second.scan(event) == event);
    }
}

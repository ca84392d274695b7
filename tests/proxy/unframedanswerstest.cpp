#include "fakeplatform/rawupstream.h"
#include "proxy/entryvmtasks.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

using End = RawUpstream::End;

constexpr const char *Leaving = "Server-Leaving: 1\r\n";
constexpr const char *WholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// A shorter request has been read with its head.
constexpr std::size_t SingleRead = 2U << 10;
constexpr const char *StreamWithinEvent = "id: 1\ndata: a\n\nid: 2\nda";

/// Two entry VMs, the first one with or without a path of its own to the only upstream.
class UnframedAnswers
{
public:
    explicit UnframedAnswers(Cut cut, v1::RouteKind draftsKind)
        : vms(2, 0, draftsKind)
        , m_upstream(vms.network.host(FirstPlatformHost + 1))
    {
        m_upstream.setAnswer({.contentType = "text/plain", .body = "unframed"});
        vms.platform.addUpstream("i-unframed", m_upstream.address());
        vms.cuts[0] = cut;
        REQUIRE(eventually([this] { return vms.request(0, nextId()).body == "unframed"; }));
    }

    HttpAnswer stream(const std::string &body, End end = End::Closed)
    {
        return streamOf("text/event-stream", body, end);
    }
    HttpAnswer streamOf(const std::string &contentType, const std::string &body, End end = End::Closed)
    {
        m_upstream.setAnswer({.contentType = contentType, .body = body, .end = end});
        return vms.request(0, nextId(), "/drafts/a");
    }
    /// The bytes that an HTTP/1.0 caller gets, and whether its connection is reset.
    std::pair<std::string, bool> streamToHttp10(const std::string &body)
    {
        m_upstream.setAnswer({.contentType = "text/event-stream", .body = body});
        RawConnection connection(vms.callerAddress(0));
        connection.send("POST /drafts/a HTTP/1.0\r\nHost: desk.example\r\nCumindyke-Request-Id: " + nextId()
                        + "\r\nCumindyke-Key: key-1\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n");
        const std::string received = connection.readAll();
        return {received, connection.wasReset()};
    }
    /// The bytes that an HTTP/1.0 caller gets.
    std::string plainToHttp10(const std::string &body)
    {
        m_upstream.setAnswer({.contentType = "text/plain", .body = body, .moreHeaders = "Content-Length: " + std::to_string(body.size()) + "\r\n"});
        RawConnection connection(vms.callerAddress(0));
        connection.send("POST /deposits/a HTTP/1.0\r\nHost: desk.example\r\nCumindyke-Request-Id: " + nextId()
                        + "\r\nCumindyke-Key: key-1\r\nContent-Length: 0\r\n\r\n");
        return connection.readAll();
    }
    /// An answer that comes before the upstream has read the request's body.
    HttpAnswer early(std::size_t requestBytes, End end)
    {
        m_upstream.setAnswer({.contentType = "text/plain", .body = "part", .end = end, .isEarly = true});
        return http(vms.callerAddress(0), "POST", "/deposits/a", callerHeaders(nextId()), std::string(requestBytes, 'u'));
    }
    HttpAnswer plain(const std::string &body, End end = End::Closed, const std::string &moreHeaders = {})
    {
        m_upstream.setAnswer({.contentType = "text/plain", .body = body, .end = end, .moreHeaders = moreHeaders});
        return vms.request(0, nextId());
    }

    EntryVmTasks vms;

private:
    std::string nextId()
    {
        return "unframed-" + std::to_string(++m_sent);
    }

    RawUpstream m_upstream;
    int m_sent = 0;
};

void checkStreams(UnframedAnswers &answers)
{
    const HttpAnswer whole = answers.stream(WholeStream);
    CHECK(whole.status == 200);
    CHECK(whole.body == WholeStream);
    CHECK_FALSE(whole.failure);
    CHECK(answers.stream(StreamWithinEvent).failure == CallFailure::Lost);
}

}

// Guards against a stream without a length or chunks whose upstream ended within an event, and which its caller takes for a complete one.
TEST_CASE("an unframed stream that ends within an event is broken off for its caller")
{
    for (const v1::RouteKind kind : {v1::STREAMING, v1::RESUMABLE_STREAMING}) {
        for (const Cut cut : {Cut::None, Cut::Refused}) {
            CAPTURE(kind, static_cast<int>(cut));
            UnframedAnswers answers(cut, kind);
            checkStreams(answers);
        }
    }
}

// Guards against an answer without a length or chunks whose upstream's process ended between two events, or in a plain body, and which looks complete.
TEST_CASE("an unframed answer whose upstream ends with its connection is broken off for its caller")
{
    for (const Cut cut : {Cut::None, Cut::Refused}) {
        CAPTURE(static_cast<int>(cut));
        CHECK(UnframedAnswers(cut, v1::STREAMING).stream(WholeStream, End::ProcessEnded).failure == CallFailure::Lost);
        CHECK(UnframedAnswers(cut, v1::STREAMING).plain("part", End::ProcessEnded).status == 502);
    }
}

// Guards against a broken-off stream that looks complete to a caller whose HTTP version has no chunks: its answer ends with the connection.
TEST_CASE("a stream that is broken off is reset for an HTTP/1.0 caller")
{
    UnframedAnswers answers(Cut::None, v1::STREAMING);
    for (const char *body : {WholeStream, StreamWithinEvent}) {
        CAPTURE(body);
        const auto [received, wasReset] = answers.streamToHttp10(body);
        CHECK(received.find("id: 1\ndata: a\n\n") != std::string::npos);
        CHECK(wasReset == (body == StreamWithinEvent));
    }
}

// Guards against holding back, or breaking off, an answer without events on a route for streams.
TEST_CASE("an answer on a stream's route that is no event stream comes whole")
{
    for (const v1::RouteKind kind : {v1::STREAMING, v1::RESUMABLE_STREAMING}) {
        CAPTURE(kind);
        UnframedAnswers answers(Cut::None, kind);
        CHECK(answers.streamOf("application/json", "{}").body == "{}");
    }
}

// Guards against a reset that passes for the end of an answer without a length or chunks, at the upstream or behind a relay.
TEST_CASE("an unframed answer whose connection is reset is broken off for its caller")
{
    for (const Cut cut : {Cut::None, Cut::Refused}) {
        CAPTURE(static_cast<int>(cut));
        UnframedAnswers answers(cut, v1::STREAMING);
        CHECK(answers.plain("whole").body == "whole");
        CHECK(answers.plain("part", End::Reset).status == 502);
        CHECK(answers.stream(WholeStream, End::Reset).failure == CallFailure::Lost);
    }
}

// Guards against a part of an answer that passes for the whole one: its upstream answers a long upload early, and resets the connection while the upload
// is unread, possibly after it has closed its end in order.
TEST_CASE("an unframed answer whose connection is reset under an upload is broken off for its caller")
{
    for (const Cut cut : {Cut::None, Cut::Refused}) {
        for (const std::size_t bytes : {std::size_t(1) << 10, std::size_t(200) << 10, std::size_t(1) << 20, std::size_t(4) << 20}) {
            for (const End end : {End::Closed, End::Reset, End::ClosedThenReset}) {
                CAPTURE(static_cast<int>(cut), bytes, static_cast<int>(end));
                // A close resets the connection if a part of the request is unread.
                const bool isReset = end != End::Closed || bytes > SingleRead;
                // A new upstream each time: one whose answers fail is left out for a while.
                CHECK(UnframedAnswers(cut, v1::STREAMING).early(bytes, end).status == (isReset ? 502 : 200));
            }
        }
    }
}

// Guards against a part of a plain answer that passes for all of it: a VM that is killed while it writes the answer closes its connections in order, and an
// HTTP/1.0 caller got no length.
TEST_CASE("a plain answer to an HTTP/1.0 caller has a length")
{
    UnframedAnswers answers(Cut::None, v1::STREAMING);
    for (const std::string &body : {std::string("whole"), std::string(100 << 10, 'a')}) {
        const std::string received = answers.plainToHttp10(body);
        CHECK(received.find("Content-Length: " + std::to_string(body.size()) + "\r\n") != std::string::npos);
        CHECK(received.ends_with("\r\n\r\n" + body));
    }
}

// Guards against losing whole answers of an upstream that is leaving and no longer listens, and against a part of one that looks complete since an upstream
// that is leaving was not checked at all.
TEST_CASE("an unframed answer of a leaving upstream is broken off only if its process ends")
{
    for (const Cut cut : {Cut::None, Cut::Refused}) {
        CAPTURE(static_cast<int>(cut));
        CHECK(UnframedAnswers(cut, v1::STREAMING).plain("whole", End::Closed, Leaving).body == "whole");
        CHECK(UnframedAnswers(cut, v1::STREAMING).plain("whole", End::StoppedListening, Leaving).body == "whole");
        CHECK(UnframedAnswers(cut, v1::STREAMING).plain("part", End::ProcessEnded, Leaving).status == 502);
    }
}

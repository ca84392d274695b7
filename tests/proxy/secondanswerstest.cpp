#include "fakeplatform/rawupstream.h"
#include "proxy/entryvmtasks.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr const char *Events = "text/event-stream";
constexpr const char *WholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

std::string secondHead(const std::string &id, const std::string &contentType)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\nCumindyke-Request-Id: " + id + "\r\nCumindyke-Runner-Seal: seal\r\n\r\n";
}

/// One entry VM and one upstream.
class OneUpstream
{
public:
    explicit OneUpstream(v1::RouteKind draftsKind = v1::STREAMING)
        : vms(1, 0, draftsKind)
        , m_upstream(vms.network.host(FirstPlatformHost + 1))
    {
        m_upstream.setAnswer({.contentType = "text/plain", .body = "plain"});
        vms.platform.addUpstream("i-first", m_upstream.address());
        REQUIRE(eventually([this] { return vms.request(0, nextId()).body == "plain"; }));
    }

    HttpAnswer request(const RawUpstream::Answer &answer, const std::string &target = "/deposits/a")
    {
        m_upstream.setAnswer(answer);
        return vms.request(0, nextId(), target);
    }

    EntryVmTasks vms;

private:
    std::string nextId()
    {
        return "second-" + std::to_string(++m_sent);
    }

    RawUpstream m_upstream;
    int m_sent = 0;
};

}

// Guards against a second answer inside the first: the upstream answers twice on one connection, and an answer without a length or chunks ends only with the
// connection.
TEST_CASE("a second answer behind an unframed one does not reach the caller")
{
    for (const char *id : {"ID", "another-request"}) {
        CAPTURE(id);
        OneUpstream upstream;
        const std::string second = secondHead(id, "text/plain") + "second";
        CHECK(upstream.request({.contentType = "text/plain", .body = "whole", .late = second}).status == 502);
        CHECK(upstream.request({.contentType = "text/plain", .body = "whole" + second}).status == 502);
    }
}

// Guards against the same behind a stream, whose events reach the caller before its end.
TEST_CASE("a second answer behind an unframed stream does not reach the caller")
{
    for (const v1::RouteKind kind : {v1::STREAMING, v1::RESUMABLE_STREAMING}) {
        CAPTURE(kind);
        OneUpstream upstream(kind);
        const HttpAnswer answer = upstream.request({.contentType = Events, .body = WholeStream, .late = secondHead("ID", Events) + WholeStream}, "/drafts/a");
        CHECK(answer.body == WholeStream);
        CHECK(answer.failure == CallFailure::Lost);
    }
}

// Guards against the same behind a plain answer of which the caller has a part already.
TEST_CASE("a second answer behind a large unframed one does not reach the caller")
{
    OneUpstream upstream;
    const std::string body(std::size_t(300) << 10, 'x');
    const HttpAnswer answer = upstream.request({.contentType = "text/plain", .body = body, .late = secondHead("ID", "text/plain") + "second"});
    CHECK(answer.body == body);
    CHECK(answer.failure == CallFailure::Lost);
}

// Guards against a sound answer that is taken for two, as its body shows one.
TEST_CASE("an unframed answer whose body contains a status line is passed on unchanged")
{
    OneUpstream upstream;
    for (const char *body : {"HTTP/1.1 200 OK", "see HTTP/1.1 200 OK\r\nDate: today\r\n\r\nfor example", "HTTP/1.1 404 Not Found\n", "H", "a HTTP/1."}) {
        CAPTURE(body);
        const HttpAnswer answer = upstream.request({.contentType = "text/plain", .body = body});
        CHECK(answer.status == 200);
        CHECK(answer.body == body);
    }
    const std::string stream = "id: 1\ndata: HTTP/1.1 200 OK\n\nid: 2\ndata: HTTP/1.1 200 OK\ndata: b\n\n";
    CHECK(upstream.request({.contentType = Events, .body = stream}, "/drafts/a").body == stream);
}

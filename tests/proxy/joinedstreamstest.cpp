#include "fakeplatform/rawupstream.h"
#include "proxy/entryvmtasks.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

using End = RawUpstream::End;

constexpr const char *Events = "text/event-stream";
/// Ends within event 3.
constexpr const char *CutAfterTwo = "id: 1\ndata: first 1\n\nid: 2\ndata: first 2\n\nid: 3\ndata: fi";

/// One entry VM and two upstreams. A stream that begins at the first one shows it by its events' data.
class TwoUpstreams
{
public:
    explicit TwoUpstreams(v1::RouteKind draftsKind = v1::RESUMABLE_STREAMING)
        : vms(1, 0, draftsKind, 0, 2)
        , m_one(vms.network.host(FirstPlatformHost + 1))
        , m_other(vms.network.host(FirstPlatformHost + 2))
    {
        vms.platform.addUpstream("i-1", m_one.address());
        vms.platform.addUpstream("i-2", m_other.address());
    }

    /// Requests streams until one begins at the upstream with the first answer: the one that got the last plain request is likely to get the next request.
    HttpAnswer stream(const RawUpstream::Answer &first, const RawUpstream::Answer &second, const HeaderList &headers = {})
    {
        HttpAnswer answer;
        REQUIRE(eventually([&] {
            m_one.setAnswer({.contentType = "text/plain", .body = "one"});
            m_other.setAnswer({.contentType = "text/plain", .body = "other"});
            const bool isOne = vms.request(0, nextId()).body == "one";
            (isOne ? m_one : m_other).setAnswer(first);
            (isOne ? m_other : m_one).setAnswer(second);
            const std::string id = nextId();
            HeaderList all = callerHeaders(id);
            all.insert(all.end(), headers.begin(), headers.end());
            answer = http(vms.callerAddress(0), "POST", "/drafts/a", all, id);
            return answer.body.find("first") != std::string::npos;
        }));
        return answer;
    }

    EntryVmTasks vms;

private:
    std::string nextId()
    {
        return "joined-" + std::to_string(++m_sent);
    }

    RawUpstream m_one;
    RawUpstream m_other;
    int m_sent = 0;
};

}

// Guards against duplicate events: the upstream that resumes a stream ignores Last-Event-Id, or begins before it.
TEST_CASE("events that the caller already has are dropped from a resumed stream")
{
    const char *resumed = GENERATE("id: 1\ndata: b1\n\nid: 2\ndata: b2\n\nid: 3\ndata: b3\n\n", "id: 2\ndata: b2\n\nid: 3\ndata: b3\n\n");
    TwoUpstreams upstreams;
    const HttpAnswer answer = upstreams.stream({.contentType = Events, .body = CutAfterTwo}, {.contentType = Events, .body = resumed});
    CHECK(answer.body == "id: 1\ndata: first 1\n\nid: 2\ndata: first 2\n\nid: 3\ndata: b3\n\n");
    CHECK_FALSE(answer.failure);
}

// Guards against a stream with a gap that looks complete: the upstream that resumes it skips an event.
TEST_CASE("a resumed stream that skips an event is broken off for its caller")
{
    TwoUpstreams upstreams;
    const HttpAnswer answer = upstreams.stream({.contentType = Events, .body = CutAfterTwo}, {.contentType = Events, .body = "id: 4\ndata: b4\n\n"});
    CHECK(answer.body == "id: 1\ndata: first 1\n\nid: 2\ndata: first 2\n\n");
    CHECK(answer.failure == CallFailure::Lost);
}

// Guards against a stream that is sent twice on one connection, and reaches the caller twice.
TEST_CASE("a stream whose ids go back is broken off before the event that goes back")
{
    for (const v1::RouteKind kind : {v1::RESUMABLE_STREAMING, v1::STREAMING}) {
        CAPTURE(kind);
        TwoUpstreams upstreams(kind);
        const std::string events = "id: 1\ndata: first 1\n\nid: 2\ndata: first 2\n\n";
        const HttpAnswer answer
            = upstreams.stream({.contentType = Events, .body = events + events}, {.contentType = "text/plain", .body = "second", .end = End::Reset});
        CHECK(answer.body == events);
        CHECK(answer.failure == CallFailure::Lost);
    }
}

// Guards against events that a caller gets again although it has resumed its stream after them.
TEST_CASE("a caller that resumes a stream gets no event up to its Last-Event-Id")
{
    TwoUpstreams upstreams;
    const std::string body = "id: 1\ndata: first 1\n\nid: 2\ndata: first 2\n\nid: 3\ndata: first 3\n\n";
    const HttpAnswer answer = upstreams.stream({.contentType = Events, .body = body}, {.contentType = Events, .body = body}, {{"Last-Event-Id", "2"}});
    CHECK(answer.body == "id: 3\ndata: first 3\n\n");
    CHECK_FALSE(answer.failure);
}

// Guards against the beginning of one run joined to another run of the same request: nothing tells the upstream where to go on.
TEST_CASE("a stream without ids is not resumed once the caller has events")
{
    TwoUpstreams upstreams;
    const HttpAnswer answer
        = upstreams.stream({.contentType = Events, .body = "data: first 1\n\ndata: fi"}, {.contentType = Events, .body = "data: b1\n\ndata: b2\n\n"});
    CHECK(answer.body == "data: first 1\n\n");
    CHECK(answer.failure == CallFailure::Lost);
}

// Guards against a second run of a request whose caller has a part of the first answer that nothing can follow, and against its events behind that part.
TEST_CASE("a plain answer that was forwarded in part is not sent to another upstream")
{
    TwoUpstreams upstreams;
    const std::string part = "first " + std::string(std::size_t(300) << 10, 'x');
    const HttpAnswer answer
        = upstreams.stream({.contentType = "text/plain", .body = part, .end = End::Reset}, {.contentType = Events, .body = "id: 1\ndata: b1\n\n"});
    CHECK(answer.body.find("b1") == std::string::npos);
    CHECK(answer.failure == CallFailure::Lost);
}

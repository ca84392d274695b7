#include "fakeplatform/unframedupstream.h"
#include "proxy/entryvmtasks.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

using End = UnframedUpstream::End;

constexpr const char *WholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
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
    HttpAnswer plain(const std::string &body, End end = End::Closed)
    {
        m_upstream.setAnswer({.contentType = "text/plain", .body = body, .end = end});
        return vms.request(0, nextId());
    }

    EntryVmTasks vms;

private:
    std::string nextId()
    {
        return "unframed-" + std::to_string(++m_sent);
    }

    UnframedUpstream m_upstream;
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

#include "fakeplatform/rawupstream.h"
#include "support/processes.h"
#include "upstream/upstreamcall.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

using End = RawUpstream::End;

constexpr ProgressTimeouts ShortTimeouts{.connect = std::chrono::seconds(10), .firstByte = std::chrono::seconds(1), .betweenBytes = std::chrono::seconds(1)};

/// Heads with an empty line at their end, some of which would promise a whole body if that line were assumed where the head is cut.
const std::vector<std::string> Heads{
    "HTTP/1.1 200 OK\r\nCumindyke-Request-Id: r\r\nCumindyke-Runner-Seal: seal\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nCumindyke-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCumindyke-Request-Id: r\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nCumindyke-Request-Id: r\r\n\r\n",
    "HTTP/1.1 200 OK\r\nCumindyke-Request-Id: r\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nCumindyke-Request-Id: r\r\n\r\n",
    "HTTP/1.1 200 OK\nCumindyke-Request-Id: r\nContent-Length: 12\n\n",
};

struct Counts
{
    int calls = 0;
    int finished = 0;
    int heads = 0;
    int received = 0;
};

/// Plays calls with all cuts at once: the target, or the address in a CONNECT, names the head and the number of its bytes that are sent.
class CutHeads
{
public:
    explicit CutHeads(End end)
        : m_upstream(m_network.host(1))
    {
        m_upstream.setAnswers([end](const std::string &head) {
            const bool isConnect = head.starts_with("CONNECT");
            const std::size_t number = head.find(isConnect ? "10.0.0." : "/cut.") + (isConnect ? 7 : 5);
            const std::size_t length = head.find(':', number) + 1;
            const std::string &whole = Heads.at(std::stoul(head.substr(number)));
            return RawUpstream::Answer{.contentType = {}, .body = {}, .end = end, .raw = whole.substr(0, std::stoul(head.substr(length)))};
        });
    }

    /// "asRelay": the head that is cut is a relay's answer to CONNECT.
    Counts play(const std::string &method, bool asRelay)
    {
        Counts counts;
        std::vector<std::unique_ptr<UpstreamCall>> calls;
        int underWay = 0;
        const auto onEnd = [&] {
            if (--underWay == 0) {
                m_loop.stop();
            }
        };
        for (std::size_t number = 0; number < Heads.size(); ++number) {
            for (std::size_t length = 1; length < Heads[number].size(); ++length) {
                UpstreamRequest request{.id = RequestId{"r"},
                                        .address = m_upstream.address(),
                                        .method = method,
                                        .target = "/cut." + std::to_string(number) + ":" + std::to_string(length),
                                        .headers = {},
                                        .body = {},
                                        .idHeader = "Cumindyke-Request-Id",
                                        .allowsCloseDelimitedBody = true};
                if (asRelay) {
                    request.relay = m_upstream.address();
                    request.address = Address{.host = "10.0.0." + std::to_string(number), .port = static_cast<std::uint16_t>(length)};
                }
                calls.push_back(std::make_unique<UpstreamCall>(m_loop, std::move(request), ShortTimeouts));
                UpstreamCall &call = *calls.back();
                call.head().connect([&](const AnswerHead &) { ++counts.heads; });
                call.data().connect([&](std::string_view) { ++counts.received; });
                call.finished().connect([&] {
                    ++counts.finished;
                    onEnd();
                });
                call.failed().connect([&](CallFailure) { onEnd(); });
                ++underWay;
                ++counts.calls;
            }
        }
        for (const std::unique_ptr<UpstreamCall> &call : calls) {
            call->start();
        }
        m_loop.run();
        return counts;
    }

private:
    const TestNetwork m_network;
    RawUpstream m_upstream;
    EventLoop m_loop;
};

}

// Guards against an answer whose head was cut off and that counts as one with an empty or short body: its upstream stopped within the head, and the
// connection ended in order, by a reset, or not at all.
TEST_CASE("an answer that is cut off within its head is lost, wherever the cut is")
{
    for (const End end : {End::Closed, End::Reset, End::ClosedThenReset, End::Never}) {
        for (const char *method : {"GET", "HEAD", "POST"}) {
            CAPTURE(static_cast<int>(end), method);
            const Counts counts = CutHeads(end).play(method, false);
            CHECK(counts.calls > 400);
            CHECK(counts.finished == 0);
            CHECK(counts.heads == 0);
            CHECK(counts.received == 0);
        }
    }
}

// Guards against a connection that counts as opened by a relay that stopped within the head of its answer.
TEST_CASE("a relay's answer to CONNECT that is cut off within its head opens no connection")
{
    for (const End end : {End::Closed, End::Reset, End::Never}) {
        CAPTURE(static_cast<int>(end));
        const Counts counts = CutHeads(end).play("POST", true);
        CHECK(counts.calls > 400);
        CHECK(counts.finished == 0);
        CHECK(counts.heads == 0);
    }
}

// Guards against a head that another reader ends at a different place.
TEST_CASE("a head with a folded line, a NUL or a lone carriage return is no answer")
{
    const std::string nul(1, '\0');
    const std::string begin = "HTTP/1.1 200 OK\r\nCumindyke-Request-Id: r\r\n";
    const std::string end = "Content-Length: 2\r\n\r\nok";
    for (const std::string &line : {std::string("X: a\r\n b\r\n"),
                                    std::string("X: a\r\n\tb: c\r\n"),
                                    "X: a" + nul + "\r\n",
                                    "X" + nul + ": a\r\n",
                                    std::string("X: a\rY: b\r\n"),
                                    std::string("X : a\r\n"),
                                    std::string("X\r\n"),
                                    std::string(": a\r\n"),
                                    std::string("Content-Length: 1\r\n")}) {
        CAPTURE(line);
        const TestNetwork network;
        RawUpstream upstream(network.host(1));
        std::string raw = begin;
        raw.append(line).append(end);
        upstream.setAnswer({.contentType = {}, .body = {}, .raw = raw});
        const HttpAnswer answer = http(upstream.address(), "GET", "/");
        CHECK(answer.failure == CallFailure::Lost);
    }
}

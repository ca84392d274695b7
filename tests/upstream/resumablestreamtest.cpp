#include "upstream/resumablestream.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cumindyke;

namespace
{

/// Returns the rest of an engine's stream from an offset: tokens, a closing event and the end marker.
std::string streamFrom(std::uint64_t offset, std::uint64_t tokens)
{
    std::string body;
    for (std::uint64_t i = offset; i < tokens; ++i) {
        body += "id: " + std::to_string(i) + "\ndata: token" + std::to_string(i) + "\n\n";
    }
    return body + "data: usage\n\ndata: [DONE]\n\n";
}

void feedStream(ResumableStream &stream, std::string_view bytes, std::vector<std::string> &received)
{
    for (const StreamEvent &event : stream.feed(bytes)) {
        received.push_back(event.data);
    }
}

std::vector<std::string> completeAnswer(std::uint64_t tokens)
{
    std::vector<std::string> answer;
    for (std::uint64_t i = 0; i < tokens; ++i) {
        answer.push_back("token" + std::to_string(i));
    }
    answer.insert(answer.end(), {"usage", "[DONE]"});
    return answer;
}

}

// Guards against duplicate and missing events, the unnumbered closing ones included. Connections end at any byte, and each new one starts
// at the requested offset or some events before it, since an engine may round the offset down.
TEST_CASE("a stream cut at any byte and resumed yields every event once")
{
    constexpr std::uint64_t Tokens = 12;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        ResumableStream stream;
        std::vector<std::string> received;
        for (int connection = 0; !stream.isComplete(); ++connection) {
            REQUIRE(connection < 1000);
            if (connection > 0) {
                stream.startConnection();
            }
            const std::uint64_t overlap = std::min(stream.offset(), random() % 3);
            const std::string body = streamFrom(stream.offset() - overlap, Tokens);
            feedStream(stream, std::string_view(body).substr(0, random() % (body.size() + 1)), received);
        }
        REQUIRE(received == completeAnswer(Tokens));
    }
}

TEST_CASE("a gap breaks the stream, and a new connection resumes it")
{
    ResumableStream stream;
    std::vector<std::string> received;
    feedStream(stream, "id: 0\ndata: token0\n\nid: 2\ndata: token2\n\ndata: [DONE]\n\n", received);
    CHECK(stream.isBroken());
    CHECK_FALSE(stream.isComplete());
    stream.startConnection();
    feedStream(stream, streamFrom(stream.offset(), 3), received);
    CHECK(stream.isComplete());
    CHECK(received == completeAnswer(3));
}

TEST_CASE("no events are returned after the end marker")
{
    ResumableStream stream;
    std::vector<std::string> received;
    feedStream(stream, streamFrom(0, 1) + streamFrom(0, 1), received);
    CHECK(received == completeAnswer(1));
}

// Guards against a second answer on the same connection, whose repeated events are taken for a resume's overlap and whose later ones continue the first.
TEST_CASE("a connection whose numbers go back breaks the stream")
{
    ResumableStream stream;
    std::vector<std::string> received;
    feedStream(stream, "id: 0\ndata: token0\n\nid: 1\ndata: token1\n\n" + streamFrom(0, 3), received);
    CHECK(stream.isBroken());
    CHECK_FALSE(stream.isComplete());
    CHECK(received == std::vector<std::string>{"token0", "token1"});
}

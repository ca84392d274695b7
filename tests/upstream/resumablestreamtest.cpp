#include "upstream/resumablestream.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cumindyke;

namespace
{

/// A stream of tokens, a closing event and the end marker, as an engine sends it from an offset.
std::string streamFrom(std::uint64_t offset, std::uint64_t tokens)
{
    std::string body;
    for (std::uint64_t i = offset; i < tokens; ++i) {
        body += "id: " + std::to_string(i) + "\ndata: token" + std::to_string(i) + "\n\n";
    }
    return body + "data: usage\n\ndata: [DONE]\n\n";
}

void feedInto(ResumableStream &stream, std::string_view bytes, std::vector<std::string> &taken)
{
    for (const StreamEvent &event : stream.feed(bytes)) {
        taken.push_back(event.data);
    }
}

std::vector<std::string> wholeAnswer(std::uint64_t tokens)
{
    std::vector<std::string> whole;
    for (std::uint64_t i = 0; i < tokens; ++i) {
        whole.push_back("token" + std::to_string(i));
    }
    whole.insert(whole.end(), {"usage", "[DONE]"});
    return whole;
}

}

// The caller sees one whole answer. Connections end at any byte and each new one starts at the offset asked for or some events before
// it, because an engine may round the offset down; events must be neither doubled nor lost, the unnumbered closing ones included.
TEST_CASE("a stream cut at any byte and resumed is handed on once and whole")
{
    constexpr std::uint64_t Tokens = 12;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        ResumableStream stream;
        std::vector<std::string> taken;
        for (int connection = 0; !stream.ended(); ++connection) {
            REQUIRE(connection < 1000);
            if (connection > 0) {
                stream.reconnected();
            }
            const std::uint64_t early = std::min(stream.offset(), random() % 3);
            const std::string body = streamFrom(stream.offset() - early, Tokens);
            feedInto(stream, std::string_view(body).substr(0, random() % (body.size() + 1)), taken);
        }
        REQUIRE(taken == wholeAnswer(Tokens));
    }
}

TEST_CASE("a gap breaks the connection's stream and a new connection mends it")
{
    ResumableStream stream;
    std::vector<std::string> taken;
    feedInto(stream, "id: 0\ndata: token0\n\nid: 2\ndata: token2\n\ndata: [DONE]\n\n", taken);
    CHECK(stream.broken());
    CHECK_FALSE(stream.ended());
    stream.reconnected();
    feedInto(stream, streamFrom(stream.offset(), 3), taken);
    CHECK(stream.ended());
    CHECK(taken == wholeAnswer(3));
}

TEST_CASE("nothing is handed on after the end marker")
{
    ResumableStream stream;
    std::vector<std::string> taken;
    feedInto(stream, streamFrom(0, 1) + streamFrom(0, 1), taken);
    CHECK(taken == wholeAnswer(1));
}

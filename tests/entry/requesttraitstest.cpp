#include "entry/requesttraits.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

namespace
{

std::vector<RequestTrait> partList(std::string_view prompt, std::string_view service = "desk")
{
    return parsePromptParts(service, PromptFormat::PartList, prompt);
}

std::vector<RequestTrait> completion(std::string_view body)
{
    return parsePromptParts("desk", PromptFormat::CompletionBody, body);
}

}

TEST_CASE("all listed parts of a prompt but the last may be shared")
{
    const std::vector<RequestTrait> parts = partList("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    REQUIRE(parts.size() == 2);
    CHECK(parts[0] != parts[1]);
    CHECK(partList("e4402b7d:250").empty());
    CHECK(partList("").empty());
    CHECK(partList("91bd3f06:7,00:1") == std::vector{parts[1]});
    CHECK(partList("91BD3F06:410, 5c1e07a2 :800,00:1") == std::vector{parts[1], parts[0]});
    CHECK(partList("5c1e07a2:800,00:1", "other").front() != parts[0]);
}

TEST_CASE("malformed and repeated parts are left out, and a prompt has a bounded number of them")
{
    CHECK(partList(",,:5,x:1,5c1e,").size() == 1);
    CHECK(partList("aa:1,aa:2,aa:3,bb:1").size() == 1);
    CHECK(partList(std::string(100, 'a') + ":1,bb:1").empty());
    std::string list;
    for (int part = 0; part < 1000; ++part) {
        list += std::to_string(part) + ":1,";
    }
    CHECK(partList(list).size() == MaxPromptParts);
}

TEST_CASE("messages of a chat but the last, and the leading bytes of a long prompt, may be shared")
{
    const std::string system = R"({"role":"system","content":"be brief"})";
    const auto chat = [&system](const std::string &more) { return completion(R"({"messages":[)" + system + more + "]}"); };
    REQUIRE(chat(R"(,{"role":"user","content":"hello"})").size() == 1);
    CHECK(chat(R"(,{"role":"user","content":"hello"})") == chat(R"(,{"role":"user","content":"other"})"));
    CHECK(chat("").empty());
    const auto prompt = [](const std::string &text) { return completion(R"({"prompt":")" + text + R"("})"); };
    CHECK(prompt("short").empty());
    CHECK(prompt(std::string(300, 'a') + "b") == prompt(std::string(300, 'a') + "c"));
    CHECK(prompt(std::string(300, 'a')) != prompt(std::string(300, 'b')));
    CHECK(completion("no json").empty());
    CHECK(completion("[]").empty());
    CHECK(completion(R"({"messages":5})").empty());
}

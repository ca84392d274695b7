#include "domain/declarations.h"
#include "support/processes.h"
#include "support/tomlmembers.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr const char *ExampleToml = R"(
[[tier]]
name = "committee"
rank = 0

[[organisation]]
name = "egbe-ijo"
highest_tier = "committee"

[[service]]
name = "drafting"
kind = "model"
version = "v1"

[[upstream]]
name = "drafting-1"
service = "drafting"
version = "v1"
data_centre = "ikeja"
address = "10.0.0.1:9000"
slots = 8
)";

constexpr const char *AllMembers = R"([[tier]]
name = "committee"
rank = 2
[[organisation]]
name = "ensemble"
highest_tier = "committee"
key_sha256 = ["571274b591a1ba94546ad75705fcbee335ad25bb1cbfea93c6649e48cda8097b"]
max_concurrent = 7
tokens_per_second = 900
weight = 3
[[service]]
name = "drafting"
kind = "model"
version = "v1"
default_deadline_ms = 30000
non_idempotent = ["POST /book"]
keep_answers_s = 600
[[service.objective]]
tier = "committee"
on_time_share = 0.9
first_token_ms = 500
between_tokens_ms = 30
[[upstream]]
name = "drafting-1"
service = "drafting"
version = "v1"
data_centre = "north"
address = "10.0.0.1:9000"
slots = 8
checks_fence = true
)";

Declarations exampleDeclarations()
{
    const auto changes = parseDeclarations(ExampleToml, "office.toml");
    REQUIRE(ok(changes));
    const auto applied = Declarations().apply(valueOf(changes));
    REQUIRE(ok(applied));
    return valueOf(applied);
}

std::string parseError(const std::string &toml)
{
    const auto changes = parseDeclarations(toml, "bad.toml");
    return ok(changes) ? "" : errorOf(changes).message;
}

}

TEST_CASE("declarations are parsed from TOML")
{
    const Declarations declarations = exampleDeclarations();
    CHECK(declarations.revision() == Revision{1});
    REQUIRE(declarations.upstream(UpstreamName{"drafting-1"}));
    CHECK(declarations.upstream(UpstreamName{"drafting-1"})->address == Address{"10.0.0.1", 9000});
    CHECK(declarations.service(ServiceName{"drafting"})->kind == ServiceKind::Model);
}

TEST_CASE("a parse error names file, line, key and remedy")
{
    CHECK(parseError("[[tier]]\nname = \"a\"\nrank = 0\ncolour = 1\n").find("bad.toml:4: tier[0].colour: unknown key") != std::string::npos);
    CHECK(parseError("[[tier]]\nname = 3\nrank = 0\n").find("bad.toml:2: tier[0].name: wrong type") != std::string::npos);
    CHECK(parseError("[[tier]]\nname = \"a\"\nrank = 99\n").find("write 0 to 15") != std::string::npos);
    CHECK(parseError("[[tier]]\nname = \"a\"\n").find("tier[0].rank: missing") != std::string::npos);
    CHECK(parseError("[[tier]\n").find("bad.toml:1: not TOML") != std::string::npos);
}

TEST_CASE("a change that violates a rule between declarations is rejected")
{
    const Declarations declarations = exampleDeclarations();
    CHECK_FALSE(ok(declarations.apply({Removal{.kind = Kind::Tier, .name = "committee"}})));
    CHECK_FALSE(ok(declarations.apply({Removal{.kind = Kind::Service, .name = "drafting"}})));
    CHECK_FALSE(ok(declarations.apply({Tier{.name = TierName{"other"}, .rank = TierRank{0}}})));
    CHECK(ok(declarations.apply({Removal{.kind = Kind::Upstream, .name = "drafting-1"}, Removal{.kind = Kind::Service, .name = "drafting"}})));
}

TEST_CASE("applying the changes to a target yields the target")
{
    const Declarations from = exampleDeclarations();
    auto changed = from.apply({Tier{.name = TierName{"routine"}, .rank = TierRank{1}}, Removal{.kind = Kind::Upstream, .name = "drafting-1"}});
    REQUIRE(ok(changed));
    const auto reapplied = from.apply(from.changesTo(valueOf(changed)));
    REQUIRE(ok(reapplied));
    CHECK(valueOf(reapplied).changesTo(valueOf(changed)).empty());
    CHECK(from.changesTo(from).empty());
}

// The second of two organisations of one name replaced the first, with its keys and limits, without a word.
TEST_CASE("an object that is declared twice is refused, in one file and in two")
{
    const auto twice = [](const std::string &kind) {
        const std::string all = ExampleToml;
        const std::size_t begin = all.find("[[" + kind + "]]");
        return all + all.substr(begin, all.find("\n\n", begin) - begin) + "\n";
    };
    CHECK(parseError(twice("tier")) == "bad.toml: tier committee is declared twice: remove one of the two or correct its name");
    CHECK(parseError(twice("organisation")) == "bad.toml: organisation egbe-ijo is declared twice: remove one of the two or correct its name");
    CHECK(parseError(twice("service")) == "bad.toml: service drafting is declared twice: remove one of the two or correct its name");
    CHECK(parseError(twice("upstream")) == "bad.toml: upstream drafting-1 is declared twice: remove one of the two or correct its name");

    const test::TemporaryFolder folder;
    test::writeFile(folder.file("a.toml"), ExampleToml);
    test::writeFile(folder.file("b.toml"), "[[tier]]\nname = \"committee\"\nrank = 1\n");
    const auto changes = readDeclarations(folder.path());
    REQUIRE_FALSE(ok(changes));
    CHECK(errorOf(changes).message.find("tier committee is declared twice") != std::string::npos);
}

// Guards against a declaration that is in force though a part of it can't be read, such as a limit in quotes, which would be no limit.
TEST_CASE("a declaration with a member of another type is refused, and the error names the member")
{
    REQUIRE(ok(parseDeclarations(AllMembers, "bad.toml")));
    for (const TomlMember &member : membersOf(AllMembers)) {
        for (const std::string &value : valuesOfOtherTypes(member.value)) {
            CAPTURE(member.key, value);
            CHECK(parseError(withValue(AllMembers, member, value)).find(member.key) != std::string::npos);
        }
    }
}

// Guards against a member whose absence is taken for something that the pages don't say.
TEST_CASE("a declaration without one of its members is refused, or counts as one with the value that the page gives")
{
    const std::map<std::string, std::string> whenAbsent{
        {"key_sha256", "[]"},
        {"max_concurrent", "0"},
        {"tokens_per_second", "0"},
        {"weight", "1"},
        {"default_deadline_ms", "60000"},
        {"keep_answers_s", "86400"},
        {"non_idempotent", "[]"},
        {"on_time_share", "0.99"},
        {"first_token_ms", "760"},
        {"between_tokens_ms", "41"},
        {"slots", "1"},
        {"checks_fence", "false"},
    };
    for (const TomlMember &member : membersOf(AllMembers)) {
        CAPTURE(member.key);
        const auto parsed = parseDeclarations(without(AllMembers, member), "bad.toml");
        const auto value = whenAbsent.find(member.key);
        if (value == whenAbsent.end()) {
            CHECK(parseError(without(AllMembers, member)).find(member.key + ": missing") != std::string::npos);
            continue;
        }
        REQUIRE(ok(parsed));
        CHECK(valueOf(parsed) == valueOf(parseDeclarations(withValue(AllMembers, member, value->second), "office.toml")));
    }
}

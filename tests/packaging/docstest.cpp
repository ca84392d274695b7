#include "support/processes.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <regex>
#include <set>

using namespace cumindyke::test;

namespace
{

std::set<std::string> declaredTestNames()
{
    std::set<std::string> names;
    static const std::regex TestCasePattern(R"rx(TEST_CASE\("([^"]+)")rx");
    for (const auto &entry : std::filesystem::recursive_directory_iterator(CUMINDYKE_SOURCE "/tests")) {
        if (entry.path().extension() != ".cpp") {
            continue;
        }
        const std::string text = contentOf(entry.path().string());
        for (std::sregex_iterator match(text.begin(), text.end(), TestCasePattern); match != std::sregex_iterator(); ++match) {
            names.insert((*match)[1]);
        }
    }
    return names;
}

}

// Guards against a page that cites a test as proof which was renamed or removed.
TEST_CASE("every test that the page FAILURES.md names exists")
{
    const std::set<std::string> names = declaredTestNames();
    REQUIRE(names.contains("every test that the page FAILURES.md names exists"));
    const std::string page = contentOf(CUMINDYKE_SOURCE "/docs/FAILURES.md");
    static const std::regex QuotedNamePattern(R"rx("([^"|]{20,})")rx");
    int found = 0;
    for (std::sregex_iterator match(page.begin(), page.end(), QuotedNamePattern); match != std::sregex_iterator(); ++match) {
        INFO((*match)[1]);
        CHECK(names.contains((*match)[1]));
        ++found;
    }
    CHECK(found > 30);
}

TEST_CASE("every link from a page of docs to a page or schema has an existing target")
{
    static const std::regex LinkPattern(R"rx(\]\(([^)#:]+\.(?:md|proto))\))rx");
    for (const auto &entry : std::filesystem::recursive_directory_iterator(CUMINDYKE_SOURCE "/docs")) {
        if (entry.path().extension() != ".md") {
            continue;
        }
        const std::string text = contentOf(entry.path().string());
        for (std::sregex_iterator match(text.begin(), text.end(), LinkPattern); match != std::sregex_iterator(); ++match) {
            INFO(entry.path() << " -> " << (*match)[1]);
            CHECK(std::filesystem::exists(entry.path().parent_path() / (*match)[1].str()));
        }
    }
}

#include "support/processes.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <regex>
#include <set>

using namespace cumindyke::test;

namespace
{

std::set<std::string> testNames()
{
    std::set<std::string> names;
    static const std::regex Declared(R"rx(TEST_CASE\("([^"]+)")rx");
    for (const auto &entry : std::filesystem::recursive_directory_iterator(CUMINDYKE_SOURCE "/tests")) {
        if (entry.path().extension() != ".cpp") {
            continue;
        }
        const std::string text = contentOf(entry.path().string());
        for (std::sregex_iterator match(text.begin(), text.end(), Declared); match != std::sregex_iterator(); ++match) {
            names.insert((*match)[1]);
        }
    }
    return names;
}

}

// A reader of docs/FAILURES.md would trust a proof that a renamed or removed test no longer gives.
TEST_CASE("every test that the page of failures names exists")
{
    const std::set<std::string> names = testNames();
    REQUIRE(names.contains("every test that the page of failures names exists"));
    const std::string page = contentOf(CUMINDYKE_SOURCE "/docs/FAILURES.md");
    static const std::regex Name(R"rx("([^"|]{20,})")rx");
    int found = 0;
    for (std::sregex_iterator match(page.begin(), page.end(), Name); match != std::sregex_iterator(); ++match) {
        INFO((*match)[1]);
        CHECK(names.contains((*match)[1]));
        ++found;
    }
    CHECK(found > 30);
}

TEST_CASE("no page points to a page that is not there")
{
    static const std::regex Link(R"rx(\]\(([^)#:]+\.(?:md|proto))\))rx");
    for (const auto &entry : std::filesystem::recursive_directory_iterator(CUMINDYKE_SOURCE "/docs")) {
        if (entry.path().extension() != ".md") {
            continue;
        }
        const std::string text = contentOf(entry.path().string());
        for (std::sregex_iterator match(text.begin(), text.end(), Link); match != std::sregex_iterator(); ++match) {
            INFO(entry.path() << " -> " << (*match)[1]);
            CHECK(std::filesystem::exists(entry.path().parent_path() / (*match)[1].str()));
        }
    }
}

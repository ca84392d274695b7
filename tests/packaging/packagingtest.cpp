#include "support/processes.h"

#include <catch2/catch.hpp>

#include <regex>
#include <set>

using namespace cumindyke::test;

namespace
{

std::set<std::string> commandsIn(const std::string &help)
{
    std::set<std::string> commands;
    static const std::regex CommandPattern("\n  ([a-z-]+) ");
    for (std::sregex_iterator match(help.begin(), help.end(), CommandPattern); match != std::sregex_iterator(); ++match) {
        commands.insert((*match)[1]);
    }
    return commands;
}

std::string withoutEscapes(const std::string &roff)
{
    return std::regex_replace(roff, std::regex("\\\\"), "");
}

}

TEST_CASE("the man page of cumindykectl names every command")
{
    const std::string page = withoutEscapes(contentOf(CUMINDYKE_SOURCE "/packaging/man/cumindykectl.1"));
    const std::set<std::string> commands = commandsIn(run({"cumindykectl", "--help"}).out);
    REQUIRE(commands.contains("apply"));
    for (const std::string &command : commands) {
        INFO(command);
        CHECK(std::regex_search(page, std::regex("\n\\.BI? \"?" + command + "[ \"\n]")));
    }
}

TEST_CASE("every command of cumindykectl has a help text and refuses unknown options")
{
    for (const std::string &command : commandsIn(run({"cumindykectl", "--help"}).out)) {
        INFO(command);
        CHECK(run({"cumindykectl", command, "--help"}).exitCode == 0);
        CHECK(run({"cumindykectl", command, "--no-such-option"}).exitCode == 2);
    }
}

TEST_CASE("invalid settings are refused with file, line, key and reason, and the daemon does not start")
{
    const TemporaryFolder folder;
    const std::string file = folder.file("settings.toml");
    writeFile(file, "vm = \"entry-1\"\nhttp_address = \"nowhere\"\ncolour = 1\nreplicas = [\"entry-2\"]\n");
    const ProcessResult checked = run({"cumindyked", "--settings", file, "--check"});
    CHECK(checked.exitCode == 2);
    CHECK(checked.error.find(file + ":2: http_address: 'nowhere' is not an address") != std::string::npos);
    CHECK(checked.error.find(file + ":3: colour: unknown key") != std::string::npos);
    CHECK(checked.error.find(file + ":4: replicas: 'entry-2' is neither this VM nor a peer") != std::string::npos);
    CHECK(run({"cumindyked", "--settings", file}).exitCode == 2);
}

TEST_CASE("the installed settings file is valid")
{
    CHECK(run({"cumindyked", "--settings", CUMINDYKE_SOURCE "/packaging/settings.toml", "--check"}).exitCode == 0);
}

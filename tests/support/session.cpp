#include "support/session.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <regex>

namespace cumindyke::test
{

void Session::record(const std::string &command, const std::string &result)
{
    m_text += "$ " + command + "\n" + result + "\n";
}

void Session::record(const std::string &command, const ProcessResult &result)
{
    record(command, result.out + result.error + "exit " + std::to_string(result.exitCode));
}

void Session::record(const std::string &command, const HttpAnswer &answer)
{
    std::string result = "status " + std::to_string(answer.status) + "\n";
    for (const char *name : {"Content-Type", "X-Cumindyke-Outcome", "X-Cumindyke-Request", "Idempotent-Replayed", "Retry-After"}) {
        result += answer.header(name).empty() ? "" : std::string(name) + ": " + answer.header(name) + "\n";
    }
    record(command, result + answer.body);
}

void Session::replace(const std::string &pattern, const std::string &replacement)
{
    m_text = std::regex_replace(m_text, std::regex(pattern), replacement);
}

std::string Session::normalised() const
{
    const std::string addresses = std::regex_replace(m_text, std::regex("127\\.[0-9.]+:[0-9]+"), "ADDRESS");
    return std::regex_replace(addresses, std::regex("(vm-[0-9]+)-[0-9a-f]{8}-"), "$1-INCARNATION-");
}

void Session::compareWith(const std::string &name) const
{
    const std::string file = std::string(CUMINDYKE_SOURCE "/tests/golden/") + name + ".golden";
    if (std::getenv("CUMINDYKE_RECORD")) {
        writeFile(file, normalised());
    }
    CHECK(normalised() == contentOf(file));
}

}

#include "support/testdeployment.h"

#include "common/eventloop.h"
#include "common/hash.h"
#include "fakeupstream/faketoken.h"
#include "upstream/eventstream.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>

namespace cumindyke::test
{

namespace
{

using nlohmann::json;

constexpr const char *DefaultDeclarations = R"(
[[tier]]
name = "committee"
rank = 0
[[tier]]
name = "routine"
rank = 1
[[organisation]]
name = "egbe-ijo"
highest_tier = "committee"
key_sha256 = ["571274b591a1ba94546ad75705fcbee335ad25bb1cbfea93c6649e48cda8097b"]
[[service]]
name = "drafting"
kind = "model"
version = "v1"
default_deadline_ms = 60000
[[service]]
name = "booking"
kind = "plain"
version = "v1"
default_deadline_ms = 30000
non_idempotent = ["POST /deposits"]
)";

std::string upstreamDeclaration(const std::string &name, const std::string &service, const Address &address, int slots)
{
    return "[[upstream]]\nname = \"" + name + "\"\nservice = \"" + service + "\"\nversion = \"v1\"\ndata_centre = \"local\"\naddress = \"" + toString(address)
        + "\"\nslots = " + std::to_string(slots) + "\n";
}

}

TestDeployment::TestDeployment(const TestDeploymentOptions &options)
{
    std::string declarations = DefaultDeclarations + options.extraDeclarations;
    int host = 11;
    for (int i = 1; i <= options.draftingUpstreams; ++i) {
        const std::string name = "drafting-" + std::to_string(i);
        m_drafting.push_back(std::make_unique<FakeUpstreamProcess>(m_folder, name, m_network.host(host++), options.upstreamArguments));
        declarations += upstreamDeclaration(name, "drafting", m_drafting.back()->address(), options.slots);
    }
    for (int i = 1; i <= options.bookingUpstreams; ++i) {
        const std::string name = "booking-" + std::to_string(i);
        m_booking.push_back(std::make_unique<FakeUpstreamProcess>(m_folder, name, m_network.host(host++), options.upstreamArguments));
        declarations += upstreamDeclaration(name, "booking", m_booking.back()->address(), options.slots);
    }
    writeFile(m_declarations.file("office.toml"), declarations);
    startDaemons(options);
    const ProcessResult applied = daemon().ctl({"apply", m_declarations.path()});
    INFO(applied.out + applied.error);
    REQUIRE(applied.exitCode == 0);
    for (const auto &daemon : m_daemons) {
        REQUIRE(daemon->waitUntilReady());
    }
}

void TestDeployment::startDaemons(const TestDeploymentOptions &options)
{
    const auto nameOf = [](int vm) { return "vm-" + std::to_string(vm); };
    std::string replicas;
    for (int vm = 1; vm <= options.replicas; ++vm) {
        replicas += (vm > 1 ? ", \"" : "\"") + nameOf(vm) + "\"";
    }
    for (int vm = 1; vm <= options.vms; ++vm) {
        std::string settings = options.extraSettings + "history_file = \"" + m_folder.file(nameOf(vm) + ".history") + "\"\nreplicas = [" + replicas + "]\n";
        for (int peer = 1; peer <= options.vms; ++peer) {
            if (peer != vm) {
                settings += "[[peer]]\nvm = \"" + nameOf(peer) + "\"\nrpc_address = \"" + m_network.host(peer) + ":8081\"\n";
            }
        }
        m_daemons.push_back(std::make_unique<DaemonProcess>(m_folder, nameOf(vm), m_network.host(vm), settings));
    }
}

HttpAnswer TestDeployment::draft(const std::string &prompt, int tokens, const HeaderList &extraHeaders, std::size_t vm) const
{
    HeaderList headers = ApiKeyHeaders;
    headers.insert(headers.end(), extraHeaders.begin(), extraHeaders.end());
    return http(m_daemons.at(vm)->http(), "POST", "/v1/completions", headers, draftBody(prompt, tokens));
}

HttpAnswer TestDeployment::deposit(const std::string &key, const std::string &body, std::size_t vm) const
{
    HeaderList headers = ApiKeyHeaders;
    headers.emplace_back("Idempotency-Key", key);
    return http(m_daemons.at(vm)->http(), "POST", "/services/booking/deposits", headers, body);
}

std::string TestDeployment::metrics(std::size_t vm) const
{
    return http(m_daemons.at(vm)->http(), "GET", "/metrics").body;
}

std::string draftBody(const std::string &prompt, int tokens)
{
    return json{{"model", "drafting"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", true}}.dump();
}

std::string expectedText(const std::string &prompt, int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i) {
        text += fakeToken(checksum(prompt), static_cast<std::uint32_t>(i));
    }
    return text;
}

CallerRecord callerRecord(const HttpAnswer &answer, const std::string &expected, const std::string &key)
{
    const StreamedText streamed = streamedText(answer.body);
    return CallerRecord{
        .id = answer.header("X-Cumindyke-Request"),
        .key = key,
        .outcome = answer.header("X-Cumindyke-Outcome"),
        .whole = streamed.whole,
        .text = streamed.text,
        .expected = expected,
        .answeredAtUs = EventLoop::now().time_since_epoch().count(),
    };
}

std::string TestDeployment::history() const
{
    std::string lines;
    for (std::size_t vm = 1; vm <= m_daemons.size(); ++vm) {
        lines += contentOf(m_folder.file("vm-" + std::to_string(vm) + ".history"));
    }
    for (const auto &upstream : m_drafting) {
        lines += upstream->log();
    }
    for (const auto &upstream : m_booking) {
        lines += upstream->log();
    }
    return lines;
}

StreamedText streamedText(const std::string &body)
{
    StreamedText result;
    EventStreamParser parser;
    for (const StreamEvent &event : parser.feed(body)) {
        result.whole = event.data == "[DONE]";
        if (event.name == "error") {
            result.error = event.data;
            continue;
        }
        const json data = json::parse(event.data, nullptr, false);
        if (data.is_object() && data.contains("choices") && data["choices"][0].contains("text")) {
            result.text += data["choices"][0]["text"].get<std::string>();
        }
    }
    return result;
}

int countEvents(const std::string &log, const std::string &event)
{
    int count = 0;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        const json entry = json::parse(line, nullptr, false);
        count += entry.is_object() && entry.value("event", "") == event ? 1 : 0;
    }
    return count;
}

}

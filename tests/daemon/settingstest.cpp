#include "daemon/settings.h"
#include "support/tomlmembers.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

std::string problemOf(const std::string &toml)
{
    const Result<Settings> settings = parseSettings(toml, "vm.toml");
    return ok(settings) ? "" : errorOf(settings).message;
}

constexpr const char *Peers = "[[peer]]\nvm = \"vm-2\"\nrpc_address = \"127.0.0.2:8081\"\n";

}

// Anybody who can reach the RPC port of a VM without TLS can change declarations, so plaintext must be allowed explicitly.
TEST_CASE("plaintext requires a loopback address or an explicit setting")
{
    CHECK(problemOf("rpc_address = \"127.0.0.1:8081\"\n").empty());
    CHECK(problemOf("rpc_address = \"10.0.0.1:8081\"\n").find("set plaintext = true") != std::string::npos);
    CHECK(problemOf("rpc_address = \"10.0.0.1:8081\"\nplaintext = true\n").empty());
    CHECK(problemOf("[tls]\ncertificate = \"/none\"\nkey = \"/none\"\nca = \"/none\"\n").find("can't be read") != std::string::npos);
    CHECK(problemOf("[tls]\ncertificate = \"/none\"\n").find("tls.key: missing") != std::string::npos);
}

// Guards against VMs that each form a cluster of their own, where a change reaches a single VM.
TEST_CASE("with peers the replicas are required")
{
    CHECK(problemOf(Peers).find("replicas: missing") != std::string::npos);
    CHECK(problemOf(std::string("vm = \"vm-1\"\nreplicas = [\"vm-1\"]\n") + Peers).empty());
    CHECK(problemOf(std::string("vm = \"vm-1\"\nreplicas = [\"vm-3\"]\n") + Peers).find("neither this VM nor a peer") != std::string::npos);
}

// Guards against a relay that can't bind its address, beside the server of the other VMs' calls.
TEST_CASE("relay_port requires peer_port and a different port")
{
    const std::string byAddress = "vm = \"127.0.0.1\"\npeer_port = 7600\n";
    CHECK(problemOf(byAddress + "relay_port = 7601\n").empty());
    CHECK(problemOf(byAddress + "relay_port = 7600\n").find("another port") != std::string::npos);
    CHECK(problemOf("relay_port = 7601\n").find("needs peer_port") != std::string::npos);
}

// Guards against one socket for placement and lease datagrams, where each receiver would drop the other's messages.
TEST_CASE("lease_port requires peer_port and a different port")
{
    const std::string byAddress = "replicas = [\"127.0.0.1:7600\"]\npeer_port = 7600\n";
    CHECK(problemOf(byAddress + "lease_port = 7601\n").empty());
    CHECK(problemOf(byAddress + "lease_port = 7600\n").find("another port") != std::string::npos);
    CHECK(problemOf("lease_port = 7601\n").find("needs peer_port") != std::string::npos);
}

// Guards against a VM that does not start since the platform gives a part of a second, and one that takes a missing grace for one of nothing.
TEST_CASE("the time until the platform kills the process may have a part of a second and may be missing")
{
    const auto grace = [](const std::string &toml) { return valueOf(parseSettings(toml, "vm.toml")).shutdownGrace; };
    CHECK(grace("shutdown_grace_s = 8\n") == std::chrono::milliseconds(8000));
    CHECK(grace("shutdown_grace_s = 7.25\n") == std::chrono::milliseconds(7250));
    CHECK(grace("shutdown_grace_s = 0\n") == std::chrono::milliseconds(0));
    CHECK_FALSE(grace(""));
    CHECK(problemOf("shutdown_grace_s = -1\n").find("out of range") != std::string::npos);
}

// Guards against a budget of nothing, under which each answer would be broken off.
TEST_CASE("bounded_buffers requires memory_limit_mb")
{
    const std::string proxy = "[proxy]\naddress = \"127.0.0.1:1\"\nreadiness_address = \"127.0.0.1:2\"\nupstream_list = \"127.0.0.1:3\"\n";
    CHECK(problemOf(proxy + "bounded_buffers = true\nmemory_limit_mb = 160\n").empty());
    CHECK(problemOf(proxy + "bounded_buffers = true\n").find("needs memory_limit_mb") != std::string::npos);
    CHECK(problemOf(proxy + "memory_limit_mb = -1\n").find("memory_limit_mb") != std::string::npos);
    CHECK(problemOf(proxy + "memory_limit_mb = 99999999999\n").find("memory_limit_mb") != std::string::npos);
}

// Guards against new decisions in a deployment whose settings do not ask for them.
TEST_CASE("features are off unless the settings switch them on")
{
    const std::string proxy = "[proxy]\naddress = \"127.0.0.1:1\"\nreadiness_address = \"127.0.0.1:2\"\nupstream_list = \"127.0.0.1:3\"\n";
    const auto featuresOf = [&proxy](const std::string &toml) { return valueOf(parseSettings(proxy + toml, "vm.toml")).proxy->features; };
    const ProxyFeatures none = featuresOf("");
    CHECK_FALSE(
        (none.placement.fairShares || none.placement.rankedLimits || none.placement.plannedReturns || none.placement.sharedWaiting || none.boundedBuffers));
    CHECK(featuresOf("fair_shares = true\n").placement.fairShares);
    CHECK(featuresOf("ranked_limits = true\n").placement.rankedLimits);
    CHECK(featuresOf("planned_returns = true\n").placement.plannedReturns);
    CHECK(featuresOf("shared_waiting = true\n").placement.sharedWaiting);
}

// Guards against a VM that starts with another value than the settings give, because a member can't be read.
TEST_CASE("a setting of another type is refused, and the error names it")
{
    constexpr const char *AllMembers = R"(vm = "127.0.0.1"
data_centre = "north"
http_address = "127.0.0.1:8080"
rpc_address = "127.0.0.1:8081"
data_folder = "run/x"
platform_list = "run/vms"
history_file = "run/history"
request_read_limit_ms = 20000
drain_limit_ms = 5000
shutdown_grace_s = 7.5
confirm_within_ms = 900
evacuate_within_ms = 4000
keep_admitting_ms = 1000
replace_replica_after_ms = 20000
peer_port = 7600
lease_port = 7601
relay_port = 7602
replicas = ["127.0.0.1:7600"]
plaintext = true
form_cluster = true
wanted_voters = 3
limit_slack = 10
operator_api = "127.0.0.1:8082"
[[data_centres]]
name = "north"
region = "n"
[proxy]
address = "127.0.0.1:8083"
readiness_address = "127.0.0.1:8084"
upstream_list = "127.0.0.1:8085"
cold_rate_factor = 1.5
cold_rate_extra = 2.5
fair_shares = true
ranked_limits = true
planned_returns = true
shared_waiting = true
bounded_buffers = true
contracts = ["a"]
memory_limit_mb = 160
)";
    REQUIRE(problemOf(AllMembers).empty());
    for (const TomlMember &member : membersOf(AllMembers)) {
        for (const std::string &value : valuesOfOtherTypes(member.value)) {
            CAPTURE(member.key, value);
            CHECK(problemOf(withValue(AllMembers, member, value)).find(member.key) != std::string::npos);
        }
    }
    for (const char *table : {"proxy", "tls", "data_centres", "peer"}) {
        for (const char *value : {"1", "true", "\"x\"", "[1]"}) {
            CAPTURE(table, value);
            CHECK(problemOf(std::string(table) + " = " + value + "\n").find(table) != std::string::npos);
        }
    }
}

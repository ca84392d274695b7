#include "daemon/settings.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

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

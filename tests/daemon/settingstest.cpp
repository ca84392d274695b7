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

// Anybody who reaches the port of a VM without TLS could change declarations: it takes plain words to allow that.
TEST_CASE("plaintext needs loopback or plain words")
{
    CHECK(problemOf("rpc_address = \"127.0.0.1:8081\"\n").empty());
    CHECK(problemOf("rpc_address = \"10.0.0.1:8081\"\n").find("set plaintext = true") != std::string::npos);
    CHECK(problemOf("rpc_address = \"10.0.0.1:8081\"\nplaintext = true\n").empty());
    CHECK(problemOf("[tls]\ncertificate = \"/none\"\nkey = \"/none\"\nca = \"/none\"\n").find("can't be read") != std::string::npos);
    CHECK(problemOf("[tls]\ncertificate = \"/none\"\n").find("tls.key: missing") != std::string::npos);
}

// Without the names of the replicas every VM would lead a system of its own, and a change would reach one VM only.
TEST_CASE("with peers the replicas must be named")
{
    CHECK(problemOf(Peers).find("replicas: missing") != std::string::npos);
    CHECK(problemOf(std::string("vm = \"vm-1\"\nreplicas = [\"vm-1\"]\n") + Peers).empty());
    CHECK(problemOf(std::string("vm = \"vm-1\"\nreplicas = [\"vm-3\"]\n") + Peers).find("neither this VM nor a peer") != std::string::npos);
}

// Guards against placement and lease datagrams that meet at one socket, where each side would drop the other's.
TEST_CASE("a port for leases needs VMs that are reached by address, and a port of its own")
{
    const std::string byAddress = "replicas = [\"127.0.0.1:7600\"]\npeer_port = 7600\n";
    CHECK(problemOf(byAddress + "lease_port = 7601\n").empty());
    CHECK(problemOf(byAddress + "lease_port = 7600\n").find("another port") != std::string::npos);
    CHECK(problemOf("lease_port = 7601\n").find("needs peer_port") != std::string::npos);
}

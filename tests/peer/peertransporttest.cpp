#include "peer/peertransport.h"
#include "peer/rpcserver.h"

#include "support/processes.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

// Guards against VMs that have no configuration for seconds after a common restart: a VM relayed the configuration to VMs that did not
// listen yet, and the messages to them were lost.
TEST_CASE("a configuration for a VM that does not listen yet is delivered once it listens")
{
    const TestNetwork network;
    constexpr std::uint16_t Port = 7604;
    const VmName peer{network.host(2)};
    PeerTransport transport(VmName{network.host(1)});
    transport.setDefaultPort(Port);
    v1::Envelope update;
    update.mutable_config_update()->set_version(7);
    transport.send(peer, update);
    // Longer than the first attempt takes to be refused, and shorter than the timeout of the call.
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    std::atomic<std::uint64_t> version = 0;
    const auto receive = [&version](const VmName &, v1::Envelope &&envelope) { version = envelope.config_update().version(); };
    auto server = RpcServer::start(Address{.host = network.host(2), .port = Port}, {}, receive, {});
    REQUIRE(ok(server));
    CHECK(eventually([&version] { return version == 7; }));
}

#include "relay/upstreampaths.h"

#include "support/processes.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr std::uint16_t RelayPort = 7614;

/// The paths of a VM that has lost its own, and relays at other addresses.
class PathsOfCutVm
{
public:
    explicit PathsOfCutVm(int relayCount)
    {
        auto opened = UpstreamPaths::open(loop,
                                          UpstreamPathsOptions{
                                              .vm = VmName{network.host(1)},
                                              .localDataCentre = DataCentreName{"dc-a"},
                                              .regions = {},
                                              .relayAddress = Address{.host = network.host(1), .port = RelayPort},
                                              .mapAddress = {},
                                          },
                                          metrics);
        REQUIRE(ok(opened));
        paths = std::move(valueOf(opened));
        v1::FleetTally fleet;
        for (int relay = 0; relay < relayCount; ++relay) {
            fleet.add_placement_vms()->set_vm(network.host(2 + relay));
        }
        paths->setFleet(fleet);
        const Address upstream{.host = network.host(100), .port = 1};
        for (int failure = 0; failure < 2; ++failure) {
            paths->recordConnectFailure(upstream, EventLoop::now());
        }
        REQUIRE(paths->isLostTo(upstream));
    }

    void startRelay(int relay, bool isAvailable)
    {
        const Address address{.host = network.host(2 + relay), .port = RelayPort};
        auto server = RelayServer::listen(loop, RelayServerOptions{.address = address, .connectTimeout = std::chrono::milliseconds(300)}, metrics);
        REQUIRE(ok(server));
        servers.push_back(std::move(valueOf(server)));
        servers.back()->setAvailable(isAvailable);
    }
    /// Whether an upstream that nobody can connect to counts as ended.
    bool hasEnded()
    {
        std::optional<bool> result;
        paths->confirmEnded(Address{.host = network.host(101), .port = 1}, [&](bool hasEnded) {
            result = hasEnded;
            loop.stop();
        });
        if (!result) {
            loop.run();
        }
        return *result;
    }

    TestNetwork network;
    EventLoop loop;
    Metrics metrics;
    std::unique_ptr<UpstreamPaths> paths;
    std::vector<std::unique_ptr<RelayServer>> servers;
};

}

// Guards against a request that ends upstreams and isn't reported, since the VM that was asked does not answer.
TEST_CASE("an upstream has ended when a VM with a path can't reach it, whoever was asked first")
{
    PathsOfCutVm vm(2);
    SECTION("the first doesn't listen")
    {
        vm.startRelay(1, true);
        CHECK(vm.hasEnded());
        CHECK(vm.hasEnded());
    }
    SECTION("the first has no path either")
    {
        vm.startRelay(0, false);
        vm.startRelay(1, true);
        CHECK(vm.hasEnded());
        CHECK(vm.hasEnded());
    }
    SECTION("nobody answers: the refused connection counts")
    {
        CHECK(vm.hasEnded());
    }
}

// Guards against suspecting each request that runs when all VMs lose their paths together.
TEST_CASE("an upstream has not ended when all that is known is that the other VMs have no path either")
{
    PathsOfCutVm vm(2);
    vm.startRelay(0, false);
    vm.startRelay(1, false);
    CHECK_FALSE(vm.hasEnded());
}

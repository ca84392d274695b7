#pragma once

#include "fakeplatform/fakeplatform.h"
#include "support/processes.h"

#include <fstream>
#include <map>

namespace cumindyke::test
{

constexpr std::uint16_t PeerPort = 7600;
constexpr std::uint16_t LeasePort = 7615;
constexpr std::uint16_t ControlPort = 8229;
constexpr std::uint16_t CallerPort = 8221;
constexpr std::uint16_t ReadinessPort = 8224;
constexpr int ControlVms = 3;
constexpr int EntryVms = 2;
/// Number of the platform's host in the test network; those of upstreams follow.
constexpr int FirstPlatformHost = 90;

/// Path of the daemon's program. The environment variable CUMINDYKE_DAEMON names that of an earlier version, whose faults the tests should find.
std::string daemonProgram();

/// Three control VMs, two entry VMs and the fake platform, on loopback.
class System
{
public:
    /// With "upstreamCount" the fake platform has as many upstreams with addresses of their own, in the data centres in turn.
    /// With "peerLinkPort" the VMs send to each other at this port, where the test has a link to PeerPort; with "listLinkPort" entry VMs read the list at this
    /// port of the platform's host.
    explicit System(std::string extraSettings = {},
                    int upstreamCount = 0,
                    const std::vector<std::string> &dataCentres = {"z-a"},
                    std::string extraTables = {},
                    std::uint16_t peerLinkPort = 0,
                    std::uint16_t listLinkPort = 0)
        : platform(network.host(FirstPlatformHost), "i-1", "desk", upstreamHosts(upstreamCount), dataCentres)
        , extraSettings(std::move(extraSettings))
        , extraTables(std::move(extraTables))
        , peerLinkPort(peerLinkPort)
        , listLinkPort(listLinkPort)
    {
        for (int vm = 1; vm <= ControlVms + EntryVms; ++vm) {
            start(vm);
        }
    }

    void start(int vm)
    {
        const std::string host = network.host(vm);
        const std::string file = folder.file("vm" + std::to_string(vm) + ".toml");
        std::ofstream(file) << settings(vm, host);
        daemons[vm] = std::make_unique<Process>(
            std::vector<std::string>{daemonProgram(), "--settings", file}, folder.file("out" + std::to_string(vm)), folder.file("err" + std::to_string(vm)));
    }

    Address operatorAddress(int vm) const
    {
        return Address{.host = network.host(vm), .port = ControlPort};
    }
    Address callerAddress(int vm = ControlVms + 1) const
    {
        return Address{.host = network.host(vm), .port = CallerPort};
    }
    Address listAddress() const
    {
        return Address{.host = platform.address().host, .port = listLinkPort == 0 ? platform.address().port : listLinkPort};
    }
    bool isReady(int vm) const
    {
        return http(Address{.host = network.host(vm), .port = ReadinessPort}, "GET", "/api/readyz").status == 200;
    }
    /// Sends the document to each control VM in turn until it is acknowledged, as the operator does.
    bool publish(const std::string &document) const
    {
        int vm = 0;
        return eventually([&] { return http(operatorAddress(vm++ % ControlVms + 1), "PUT", "/api/config", {}, document).status == 200; });
    }
    bool waitUntilReady() const
    {
        return eventually([this] { return isReady(ControlVms + 1) && isReady(ControlVms + 2); });
    }

    TestNetwork network;
    TemporaryFolder folder;
    FakePlatform platform;
    /// Additional settings of every VM.
    const std::string extraSettings;
    /// Additional tables at the end of each VM's settings.
    const std::string extraTables;
    const std::uint16_t peerLinkPort;
    const std::uint16_t listLinkPort;
    std::map<int, std::unique_ptr<Process>> daemons;

private:
    std::vector<std::string> upstreamHosts(int count) const
    {
        std::vector<std::string> hosts;
        for (int number = 1; number <= count; ++number) {
            hosts.push_back(network.host(FirstPlatformHost + number));
        }
        return hosts;
    }
    std::string settings(int vm, const std::string &host) const
    {
        std::string replicas;
        for (int seed = 1; seed <= ControlVms; ++seed) {
            replicas += (seed == 1 ? "\"" : ", \"") + toString(operatorAddress(seed)) + "\"";
        }
        const bool isControl = vm <= ControlVms;
        std::string text = "vm = \"" + host + "\"\ndata_centre = \"z-a\"\nrpc_address = \"" + host + ":" + std::to_string(PeerPort)
            + "\"\npeer_port = " + std::to_string(PeerPort) + "\nlease_port = " + std::to_string(LeasePort) + "\nrelay_port = " + std::to_string(LeasePort)
            + "\nreplicas = [" + replicas + "]\nkeep_admitting_ms = 1800\n" + extraSettings + "data_folder = \""
            + (isControl ? folder.file("data" + std::to_string(vm)) : "") + "\"\n";
        if (isControl) {
            return text + "operator_api = \"" + toString(operatorAddress(vm)) + "\"\n" + extraTables + peerTables(vm);
        }
        return text + "[proxy]\naddress = \"" + toString(callerAddress(vm)) + "\"\nreadiness_address = \"" + host + ":" + std::to_string(ReadinessPort)
            + "\"\nupstream_list = \"" + toString(listAddress()) + "\"\n" + extraTables + peerTables(vm);
    }
    std::string peerTables(int vm) const
    {
        std::string tables;
        for (int peer = 1; peerLinkPort != 0 && peer <= ControlVms + EntryVms; ++peer) {
            if (peer != vm) {
                const Address link{.host = network.host(peer), .port = peerLinkPort};
                tables.append("[[peer]]\nvm = \"").append(link.host).append("\"\nrpc_address = \"").append(toString(link)).append("\"\n");
            }
        }
        return tables;
    }
};

/// An operator's document: the routes "deposits" (not idempotent) and "drafts" (a stream) to the service "desk", and one organisation with the key "key-1".
std::string documentOf(int version);

/// One with a route of each kind to the service "desk": "lookups" (idempotent), "deposits", and the streams "drafts" and "texts" (resumable).
std::string soakDocument();

HeaderList callerHeaders(const std::string &id, const std::string &key = "key-1");

}

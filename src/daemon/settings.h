#pragma once

#include "common/result.h"
#include "common/types.h"
#include "peer/credentials.h"
#include "proxy/proxytypes.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindyke
{

/// Proxy that forwards requests unchanged by routes, instead of serving completions.
struct ProxySettings
{
    /// Listening address for callers.
    Address address;
    /// Listening address for the load balancer's readiness check and for metrics.
    Address readinessAddress;
    /// Address of the platform's list of upstreams.
    Address upstreamList;
    /// Requests in any second that a cold upstream bears: its service's rate times the factor, plus the extra ones.
    double coldRateFactor = 1;
    double coldRateExtra = 0;
    ProxyFeatures features = {};
    /// Terms of the platform that are in force; the adapter knows which features they call for.
    std::vector<std::string> contracts = {};
    /// Memory that the process may use, in MB; 0: unknown.
    std::size_t memoryLimitMb = 0;
};

/// A data centre of the whole system.
struct DataCentreSettings
{
    DataCentreName name;
    RegionName region;
};

/// The settings file of one VM; docs/SETTINGS.md describes the keys.
struct Settings
{
    VmName vm{"local"};
    DataCentreName dataCentre{"local"};
    /// Listening address for callers and the load balancer.
    Address httpAddress{.host = "127.0.0.1", .port = 8080};
    /// Listening address for operators and peers.
    Address rpcAddress{.host = "127.0.0.1", .port = 8081};
    /// Folder of the control log; empty on a VM without a disk.
    std::string dataFolder = "run/cumindyked";
    /// RPC addresses of the other VMs.
    std::map<VmName, Address> peers;
    /// VMs with the initial replicas of the control log; this VM alone when the file names none.
    std::vector<VmName> replicas;
    /// RPC port of all VMs, which are then named by their IPv4 addresses; 0: VMs are reached by "peers" only.
    std::uint16_t peerPort = 0;
    /// UDP port of each VM for heartbeats and leases; 0: they are sent by RPC like all other messages.
    std::uint16_t leasePort = 0;
    /// TCP port of each VM where it opens connections to upstreams for VMs without a path of their own; 0: none.
    std::uint16_t relayPort = 0;
    /// Whether replicas with a new data folder may form the first cluster.
    bool formCluster = true;
    /// Number of voters that the log grows to as VMs with disks join; 0: the number of "replicas".
    std::size_t wantedVoters = 0;
    /// By how much organisations' limits may be exceeded over all VMs, in the limits' units; the proxy uses a fraction of it.
    std::uint64_t limitSlack = 0;
    std::optional<ProxySettings> proxy;
    /// Memory that the process may use; 0: that of the machine.
    std::size_t memoryLimitMb = 0;
    /// Listening address for operators that use the platform's protocol. The VM then serves no callers, unless it is also a proxy.
    std::optional<Address> operatorApi;
    /// Timeout after which an unreachable replica is replaced by another VM with a disk.
    std::chrono::milliseconds replaceReplicaAfter{30'000};
    /// Certificates for the connections of operators and peers; none: plaintext.
    std::optional<TlsFiles> tls;
    /// Explicitly allows plaintext on an address other than loopback.
    bool plaintext = false;
    /// How long requests are admitted with the last configuration after the lease has expired; see docs/notes/quorum-loss.md.
    std::chrono::milliseconds keepAdmitting{0};
    /// A published route table is confirmed to the operator when, after this time, every VM is certain to have applied it or to have stopped
    /// admitting requests.
    std::chrono::milliseconds confirmWithin{2000};
    /// An evacuation is confirmed to the operator when, after this time, no VM sends new requests to the data centre's upstreams.
    std::chrono::milliseconds evacuateWithin{5000};
    /// The data centres of the system and their regions.
    std::vector<DataCentreSettings> dataCentres;
    /// Maximum time for receiving one request from a caller.
    std::chrono::milliseconds requestReadLimit{30'000};
    /// Maximum duration of a graceful shutdown; none: unlimited.
    std::optional<std::chrono::milliseconds> drainLimit;
    /// Time from SIGTERM until the platform kills the process; none: it waits for all requests.
    std::optional<std::chrono::milliseconds> shutdownGrace;
    /// File or "http://HOST:PORT/PATH" of the platform's list of live and leaving VMs. Empty: none.
    std::string platformList;
    /// File for the events of each request, for tests: one JSON object per line. Empty: none.
    std::string historyFile;
};

/// Parses and checks settings. Error: Invalid, with one line per problem that gives file, line, key and remedy.
Result<Settings> parseSettings(std::string_view toml, const std::string &fileName);

}

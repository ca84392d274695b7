#pragma once

#include "common/result.h"
#include "common/types.h"
#include "peer/credentials.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindyke
{

/// Opaque pass-through by routes, in place of the completions front door.
struct ProxySettings
{
    /// For callers.
    Address address;
    /// For the balancer's question whether this VM is ready, and for metrics.
    Address readinessAddress;
    /// The platform's list of upstreams.
    Address upstreamList;
};

/// What one VM is told at its start. docs/SETTINGS.md describes the file.
struct Settings
{
    VmName vm{"local"};
    DataCentreName dataCentre{"local"};
    /// For callers and the balancer.
    Address httpAddress{.host = "127.0.0.1", .port = 8080};
    /// For operators and peers.
    Address rpcAddress{.host = "127.0.0.1", .port = 8081};
    /// Empty on a VM without a disk.
    std::string dataFolder = "run/cumindyked";
    /// The other VMs' rpc addresses.
    std::map<VmName, Address> peers;
    /// The VMs that hold the first replicas of the control log; this VM alone when none are named.
    std::vector<VmName> replicas;
    /// VMs are named by their IPv4 addresses and reached at this port; 0: by the peers named above only.
    std::uint16_t peerPort = 0;
    /// Beats and leases go from and to this UDP port of each VM; 0: by calls, like everything else.
    std::uint16_t leasePort = 0;
    /// With a new data folder, whether the replicas may form the first cluster.
    bool formCluster = true;
    /// Voters that the log grows to while VMs with disks come; 0: as many as replicas names.
    std::size_t wantedVoters = 0;
    /// Slack that organisations' limits have over all VMs, in the limits' units; a part of it is used.
    std::uint64_t limitSlack = 0;
    std::optional<ProxySettings> proxy;
    /// For operators that speak the platform's protocol; the VM has no front door for callers then, unless it is a proxy too.
    std::optional<Address> operatorApi;
    /// A replica that was silent for so long is replaced by another VM with a disk.
    std::chrono::milliseconds replaceReplicaAfter{30'000};
    /// For operators and peers; without it, plaintext.
    std::optional<TlsFiles> tls;
    /// Plaintext on an address that others can reach, said in plain words.
    bool plaintext = false;
    /// How long work is admitted under the last configuration after the lease ended; docs/notes/quorum-loss.md.
    std::chrono::milliseconds keepAdmitting{0};
    std::chrono::milliseconds confirmWithin{2000};
    /// The longest that a caller may take to send one request.
    std::chrono::milliseconds requestReadLimit{30'000};
    /// How long a graceful shutdown may last; none is no limit.
    std::optional<std::chrono::milliseconds> drainLimit;
    /// File or "http://HOST:PORT/PATH" of the platform's list of live and leaving VMs. Empty: none.
    std::string platformList;
    /// For tests: what happened to each request, a JSON object a line. Empty: none.
    std::string historyFile;
};

/// Checks and reads settings. Error: Invalid, one line for each problem with file, line, key and remedy.
Result<Settings> parseSettings(std::string_view toml, const std::string &fileName);

}

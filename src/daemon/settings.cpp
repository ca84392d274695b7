#include "daemon/settings.h"

#include "common/address.h"
#include "common/tomlreader.h"

namespace cumindyke
{

namespace
{

constexpr std::int64_t MaxReplaceReplicaAfterMs = 24 * 3'600'000;
constexpr std::int64_t MaxRequestReadLimitMs = 3'600'000;
constexpr std::int64_t MaxDrainLimitMs = 24 * 3'600'000;
constexpr double MaxShutdownGraceS = 24 * 3'600;
/// More voters slow down every commit, and the platform does not require tolerating more failures.
constexpr std::int64_t MaxVoters = 9;
constexpr std::int64_t MaxLimitSlack = 1'000'000'000'000;
constexpr std::int64_t MaxKeepAdmittingMs = 3'600'000;
constexpr std::int64_t MaxConfirmWithinMs = 60'000;
constexpr double MaxColdRateFactor = 100;
constexpr double MaxColdRateExtra = 100'000;
constexpr std::int64_t MaxMemoryLimitMb = 1 << 20;

Address readAddress(TomlTable &table, std::string_view key, const Address &fallback)
{
    const std::string text = table.text(key, toString(fallback));
    const Result<Address> address = parseAddress(text);
    if (!ok(address)) {
        table.reject(key, errorOf(address).message);
        return fallback;
    }
    return valueOf(address);
}

/// Requires TLS except on loopback: anybody who can reach the RPC address without TLS can change declarations and read the hashes of keys.
void readTls(TomlTable &root, Settings &settings)
{
    settings.plaintext = root.flag("plaintext", false);
    if (root.has("tls")) {
        TomlTable tls = root.table("tls");
        settings.tls = TlsFiles{
            .certificate = tls.requiredText("certificate"),
            .key = tls.requiredText("key"),
            .ca = tls.requiredText("ca"),
        };
        const Result<Done> checked = checkTlsFiles(*settings.tls);
        if (!ok(checked)) {
            root.reject("tls", errorOf(checked).message);
        }
        return;
    }
    if (!settings.plaintext && !settings.rpcAddress.host.starts_with("127.")) {
        root.reject("rpc_address", "not a loopback address and without TLS: add [tls] with certificate, key and ca, or set plaintext = true");
    }
}

void readDataCentres(TomlTable &root, Settings &settings)
{
    for (TomlTable &dataCentre : root.tables("data_centres")) {
        settings.dataCentres.push_back(
            DataCentreSettings{.name = DataCentreName{dataCentre.requiredText("name")}, .region = RegionName{dataCentre.text("region", "")}});
    }
}

ProxyFeatures readFeatures(TomlTable &proxy)
{
    return ProxyFeatures{
        .placement = {.fairShares = proxy.flag("fair_shares", false),
                      .rankedLimits = proxy.flag("ranked_limits", false),
                      .plannedReturns = proxy.flag("planned_returns", false),
                      .sharedWaiting = proxy.flag("shared_waiting", false)},
        .boundedBuffers = proxy.flag("bounded_buffers", false),
    };
}

void readPlatformTables(TomlTable &root, Settings &settings)
{
    readDataCentres(root, settings);
    settings.formCluster = root.flag("form_cluster", true);
    settings.wantedVoters = static_cast<std::size_t>(root.integer("wanted_voters", 0, 0, MaxVoters));
    settings.limitSlack = static_cast<std::uint64_t>(root.integer("limit_slack", 0, 0, MaxLimitSlack));
    settings.memoryLimitMb = static_cast<std::size_t>(root.integer("memory_limit_mb", 0, 0, MaxMemoryLimitMb));
    if (root.has("proxy")) {
        TomlTable proxy = root.table("proxy");
        settings.proxy = ProxySettings{
            .address = readAddress(proxy, "address", {}),
            .readinessAddress = readAddress(proxy, "readiness_address", {}),
            .upstreamList = readAddress(proxy, "upstream_list", {}),
            .coldRateFactor = proxy.number("cold_rate_factor", 1, 1, MaxColdRateFactor),
            .coldRateExtra = proxy.number("cold_rate_extra", 0, 0, MaxColdRateExtra),
            .features = readFeatures(proxy),
            .contracts = proxy.texts("contracts"),
            .memoryLimitMb = static_cast<std::size_t>(proxy.integer("memory_limit_mb", 0, 0, MaxMemoryLimitMb)),
        };
        if (settings.proxy->features.boundedBuffers && settings.proxy->memoryLimitMb == 0) {
            proxy.reject("bounded_buffers", "needs memory_limit_mb: set the memory that the process may use, or omit bounded_buffers");
        }
    }
    if (root.has("operator_api")) {
        settings.operatorApi = readAddress(root, "operator_api", {});
    }
}

/// Returns a replica's name. If VMs are named by their addresses, the text may be "A.B.C.D:PORT" with the port of any service.
VmName readReplica(const std::string &text, bool namedByAddress)
{
    return VmName{namedByAddress ? text.substr(0, text.find(':')) : text};
}

}

Result<Settings> parseSettings(std::string_view toml, const std::string &fileName)
{
    auto parsed = TomlDocument::parse(toml, fileName);
    if (!ok(parsed)) {
        return errorOf(parsed);
    }
    TomlDocument &document = *valueOf(parsed);
    TomlTable root = document.root();
    Settings settings;
    settings.vm = VmName{root.text("vm", settings.vm.value)};
    settings.dataCentre = DataCentreName{root.text("data_centre", settings.dataCentre.value)};
    settings.httpAddress = readAddress(root, "http_address", settings.httpAddress);
    settings.rpcAddress = readAddress(root, "rpc_address", settings.rpcAddress);
    settings.dataFolder = root.text("data_folder", settings.dataFolder);
    settings.platformList = root.text("platform_list", "");
    settings.historyFile = root.text("history_file", "");
    settings.requestReadLimit = std::chrono::milliseconds(root.integer("request_read_limit_ms", settings.requestReadLimit.count(), 100, MaxRequestReadLimitMs));
    if (root.has("drain_limit_ms")) {
        settings.drainLimit = std::chrono::milliseconds(root.integer("drain_limit_ms", 0, 0, MaxDrainLimitMs));
    }
    if (root.has("shutdown_grace_s")) {
        settings.shutdownGrace
            = std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double>(root.number("shutdown_grace_s", 0, 0, MaxShutdownGraceS)));
    }
    settings.confirmWithin = std::chrono::milliseconds(root.integer("confirm_within_ms", settings.confirmWithin.count(), 0, MaxConfirmWithinMs));
    settings.evacuateWithin = std::chrono::milliseconds(root.integer("evacuate_within_ms", settings.evacuateWithin.count(), 0, MaxConfirmWithinMs));
    settings.keepAdmitting = std::chrono::milliseconds(root.integer("keep_admitting_ms", 0, 0, MaxKeepAdmittingMs));
    settings.replaceReplicaAfter
        = std::chrono::milliseconds(root.integer("replace_replica_after_ms", settings.replaceReplicaAfter.count(), 1'000, MaxReplaceReplicaAfterMs));
    settings.peerPort = static_cast<std::uint16_t>(root.integer("peer_port", 0, 0, 65'535));
    settings.leasePort = static_cast<std::uint16_t>(root.integer("lease_port", 0, 0, 65'535));
    settings.relayPort = static_cast<std::uint16_t>(root.integer("relay_port", 0, 0, 65'535));
    if (settings.relayPort != 0 && (settings.peerPort == 0 || settings.relayPort == settings.peerPort)) {
        root.reject("relay_port", "needs peer_port and another port than peer_port: set both, or omit relay_port");
    }
    if (settings.leasePort != 0 && (settings.peerPort == 0 || settings.leasePort == settings.peerPort)) {
        root.reject("lease_port", "needs peer_port and another port than peer_port: set both, or omit lease_port");
    }
    for (const std::string &replica : root.texts("replicas")) {
        settings.replicas.push_back(readReplica(replica, settings.peerPort != 0));
    }
    if (settings.replicas.empty()) {
        settings.replicas.push_back(settings.vm);
    }
    for (TomlTable &peer : root.tables("peer")) {
        const VmName name{peer.requiredText("vm")};
        if (!peer.has("rpc_address")) {
            peer.reject("rpc_address", "missing: add it, for example \"10.0.0.4:8081\"");
            continue;
        }
        settings.peers[name] = readAddress(peer, "rpc_address", {});
    }
    // Otherwise every VM would form a cluster of its own, and operators' changes would reach a single VM.
    if (!settings.peers.empty() && !root.has("replicas")) {
        root.reject("replicas", "missing: with peers, list the VMs with replicas of the control log, the same list on every VM");
    }
    for (const VmName &replica : settings.replicas) {
        if (replica != settings.vm && settings.peerPort == 0 && !settings.peers.contains(replica)) {
            root.reject("replicas", "'" + replica.value + "' is neither this VM nor a peer: add a [[peer]] for it or correct its spelling");
        }
    }
    readTls(root, settings);
    readPlatformTables(root, settings);
    if (const std::optional<Error> invalid = document.finish()) {
        return *invalid;
    }
    return settings;
}

}

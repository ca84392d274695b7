#pragma once

#include "common/metrics.h"
#include "daemon/adapter.h"
#include "daemon/peerrouter.h"
#include "daemon/settings.h"

#include <functional>
#include <memory>

namespace cumindyke
{

class CellTask;
class ControlTask;
class EntryTask;
class ProxyTask;
class RpcServer;

/// Where a VM with a disk counts the fatal errors of its processes; empty without a disk.
std::string fatalErrorsFile(const Settings &settings);

/// Memory that the process may use, by its settings or that of the machine.
std::size_t memoryLimitBytes(const Settings &settings);

/// All tasks of one VM, started in order and stopped in reverse.
class Daemon
{
public:
    /// Starts all tasks. The adapter is used only by settings with a proxy or an operator API. Errors: Storage, Unavailable.
    static Result<std::unique_ptr<Daemon>> start(const Settings &settings, const Adapter &adapter);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Port of the HTTP server for completions; 0: none.
    std::uint16_t httpPort() const;
    std::uint16_t rpcPort() const;
    /// Applies the settings that may change while the daemon runs: the replicas to ask for the leader.
    void reload(const Settings &settings);
    /// Begins a graceful shutdown: admits no new requests, and calls drained from another thread when the last request has ended.
    void drain(std::function<void()> drained);

private:
    explicit Daemon(const Settings &settings);
    void recordFatalErrors(const Settings &settings);
    std::optional<Error> startControl(const Settings &settings);
    void openCells(const Settings &settings);
    std::optional<Error> openEntry(const Settings &settings);
    std::optional<Error> openProxy(const Settings &settings, const Adapter &adapter);
    std::optional<Error> openServers(const Settings &settings, const Adapter &adapter);
    std::optional<Error> startRpc(const Settings &settings);
    void send(const VmName &to, v1::Envelope &&envelope);

    const VmName m_vm;
    Metrics m_metrics;
    PeerTransport m_transport;
    PeerRouter m_router;
    std::unique_ptr<ControlTask> m_controlTask;
    std::unique_ptr<CellTask> m_cellTask;
    std::unique_ptr<EntryTask> m_entryTask;
    std::unique_ptr<ProxyTask> m_proxyTask;
    std::unique_ptr<OperatorServer> m_operatorServer;
    std::unique_ptr<RpcServer> m_rpcServer;
};

}

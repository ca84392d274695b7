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

/// All tasks of one VM, started in order and stopped in reverse.
class Daemon
{
public:
    /// Errors: Storage, Unavailable. The adapter is needed by settings with a proxy or an operator API.
    static Result<std::unique_ptr<Daemon>> start(const Settings &settings, const Adapter &adapter);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// 0 without a front door for completions.
    std::uint16_t httpPort() const;
    std::uint16_t rpcPort() const;
    /// Takes over what may change while the daemon runs: the replicas to ask for the leader.
    void reload(const Settings &settings);
    /// Begins a graceful shutdown: nothing new is admitted, drained is called (from another thread) when the last request has ended.
    void drain(std::function<void()> drained);

private:
    explicit Daemon(const Settings &settings);
    std::optional<Error> startControl(const Settings &settings);
    void openCells(const Settings &settings);
    std::optional<Error> openEntry(const Settings &settings);
    std::optional<Error> openProxy(const Settings &settings, const Adapter &adapter);
    std::optional<Error> openFrontDoor(const Settings &settings, const Adapter &adapter);
    std::optional<Error> startRpc(const Settings &settings);
    void send(const VmName &to, v1::Envelope &&envelope);

    const VmName m_vm;
    Metrics m_metrics;
    PeerTransport m_transport;
    PeerRouter m_router;
    std::unique_ptr<ControlTask> m_control;
    std::unique_ptr<CellTask> m_cells;
    std::unique_ptr<EntryTask> m_entry;
    std::unique_ptr<ProxyTask> m_proxy;
    std::unique_ptr<OperatorServer> m_operators;
    std::unique_ptr<RpcServer> m_rpc;
};

}

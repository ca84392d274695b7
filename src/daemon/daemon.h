#pragma once

#include "common/metrics.h"
#include "daemon/peerrouter.h"
#include "daemon/settings.h"

#include <functional>
#include <memory>

namespace cumindyke
{

class CellTask;
class ControlTask;
class EntryTask;
class RpcServer;

/// All tasks of one VM, started in order and stopped in reverse.
class Daemon
{
public:
    /// Errors: Storage, Unavailable.
    static Result<std::unique_ptr<Daemon>> start(const Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    std::uint16_t httpPort() const;
    std::uint16_t rpcPort() const;
    /// Begins a graceful shutdown: nothing new is admitted, drained is called (from another thread) when the last request has ended.
    void drain(std::function<void()> drained);

private:
    explicit Daemon(const Settings &settings);
    std::optional<Error> startControl(const Settings &settings);
    void openCells(const Settings &settings);
    std::optional<Error> openEntry(const Settings &settings);
    std::optional<Error> startRpc(const Settings &settings);
    void send(const VmName &to, v1::Envelope &&envelope);

    const VmName m_vm;
    Metrics m_metrics;
    PeerTransport m_transport;
    PeerRouter m_router;
    std::unique_ptr<ControlTask> m_control;
    std::unique_ptr<CellTask> m_cells;
    std::unique_ptr<EntryTask> m_entry;
    std::unique_ptr<RpcServer> m_rpc;
};

}

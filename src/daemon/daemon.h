#pragma once

#include "common/metrics.h"
#include "daemon/settings.h"

#include <memory>

namespace cumindyke
{

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
    Daemon();

    Metrics m_metrics;
    std::unique_ptr<ControlTask> m_control;
    std::unique_ptr<EntryTask> m_entry;
    std::unique_ptr<RpcServer> m_rpc;
};

}

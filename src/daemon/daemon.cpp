#include "daemon/daemon.h"

#include "control/controltask.h"
#include "control/operatorhandlers.h"
#include "entry/entrytask.h"
#include "peer/rpcserver.h"

namespace cumindyke
{

Result<std::unique_ptr<Daemon>> Daemon::start(const Settings &settings)
{
    std::unique_ptr<Daemon> daemon(new Daemon);
    auto control = ControlTask::start(settings.dataFolder);
    if (!ok(control)) {
        return errorOf(control);
    }
    daemon->m_control = std::move(valueOf(control));
    auto entry = EntryTask::start(settings.vm, settings.httpAddress, daemon->m_metrics);
    if (!ok(entry)) {
        return errorOf(entry);
    }
    daemon->m_entry = std::move(valueOf(entry));
    daemon->m_control->post(Subscription{[entry = daemon->m_entry.get()](const Configuration &configuration) { entry->post(configuration); }});
    OperatorHandlers handlers = operatorHandlers(*daemon->m_control);
    handlers.report = [entry = daemon->m_entry.get()](const v1::ReportRequest & /*request*/, const Answer<v1::ReportReply> &answer) {
        entry->post(ReportQuery{[answer](const v1::ReportReply &reply) { answer(reply); }});
    };
    auto rpc = RpcServer::start(settings.rpcAddress, std::move(handlers), [](const VmName & /*from*/, v1::Envelope && /*envelope*/) {});
    if (!ok(rpc)) {
        return errorOf(rpc);
    }
    daemon->m_rpc = std::move(valueOf(rpc));
    return daemon;
}

Daemon::Daemon() = default;

Daemon::~Daemon()
{
    // Operators' calls end first, then the control task, which posts to the entry task, which goes last.
    m_rpc.reset();
    m_control.reset();
    m_entry.reset();
}

std::uint16_t Daemon::httpPort() const
{
    return m_entry->port();
}

std::uint16_t Daemon::rpcPort() const
{
    return m_rpc->port();
}

void Daemon::drain(std::function<void()> drained)
{
    m_entry->post(DrainRequest{std::move(drained)});
}

}

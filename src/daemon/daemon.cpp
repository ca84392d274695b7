#include "daemon/daemon.h"

#include "celltask/celltask.h"
#include "control/controltask.h"
#include "control/operatorhandlers.h"
#include "entry/entrytask.h"
#include "peer/rpcserver.h"
#include "proxy/proxytask.h"

namespace cumindyke
{

namespace
{

std::set<VmName> allVms(const Settings &settings)
{
    std::set<VmName> vms{settings.vm};
    for (const auto &[vm, address] : settings.peers) {
        vms.insert(vm);
    }
    return vms;
}

/// Datagrams carry no proof of their sender, so there are none under TLS.
std::optional<Address> datagramsAt(const Settings &settings, std::uint16_t port)
{
    if (settings.tls || port == 0) {
        return {};
    }
    return Address{.host = settings.rpcAddress.host, .port = port};
}

/// The rest of the slack is for what placement servers admit before they hear of each other, and when another one takes over.
constexpr std::uint64_t PartOfSlack = 8;

}

Result<std::unique_ptr<Daemon>> Daemon::start(const Settings &settings, const Adapter &adapter)
{
    std::unique_ptr<Daemon> daemon(new Daemon(settings));
    if (const auto error = daemon->startControl(settings)) {
        return *error;
    }
    if (const auto error = daemon->openFrontDoor(settings, adapter)) {
        return *error;
    }
    if (const auto error = daemon->startRpc(settings)) {
        return *error;
    }
    daemon->m_control->start();
    // Last, so that a VM that answers /healthz answers operators too.
    if (daemon->m_entry) {
        daemon->m_cells->start();
        daemon->m_entry->start();
    }
    if (daemon->m_proxy) {
        daemon->m_proxy->start();
    }
    return daemon;
}

/// A VM takes completions, or passes requests on by routes, or only serves control.
std::optional<Error> Daemon::openFrontDoor(const Settings &settings, const Adapter &adapter)
{
    if (settings.operatorApi) {
        auto served = adapter.startOperatorServer(*settings.operatorApi, *m_control, m_metrics);
        if (!ok(served)) {
            return errorOf(served);
        }
        m_operators = std::move(valueOf(served));
    }
    if (settings.proxy) {
        return openProxy(settings, adapter);
    }
    if (settings.operatorApi) {
        return {};
    }
    openCells(settings);
    return openEntry(settings);
}

std::optional<Error> Daemon::openProxy(const Settings &settings, const Adapter &adapter)
{
    ProxyOptions options{
        .vm = settings.vm,
        .dataCentre = settings.dataCentre,
        .address = settings.proxy->address,
        .readinessAddress = settings.proxy->readinessAddress,
        .readinessPath = adapter.readinessPath,
        .headers = adapter.headers,
        .list = adapter.instanceList(settings.proxy->upstreamList),
        .requestReadLimit = settings.requestReadLimit,
        // Without them each VM places its own requests.
        .datagrams = datagramsAt(settings, settings.peerPort),
        .limitTolerance = settings.limitSlack / PartOfSlack,
        .sendTally = [control = m_control.get()](v1::EntryTally tally) { control->post(TallyNotice{std::move(tally)}); },
    };
    auto proxy = ProxyTask::open(std::move(options), m_metrics);
    if (!ok(proxy)) {
        return errorOf(proxy);
    }
    m_proxy = std::move(valueOf(proxy));
    m_control->post(Subscription{[task = m_proxy.get()](const Configuration &configuration) { task->post(configuration); }});
    return {};
}

Daemon::Daemon(const Settings &settings)
    : m_vm(settings.vm)
    , m_transport(settings.vm, settings.tls, &m_metrics)
{
    m_transport.setPeers(settings.peers);
    m_transport.setDefaultPort(settings.peerPort);
    m_router.control = [this](PeerMessage message) { m_control->post(std::move(message)); };
    m_router.cell = [this](PeerMessage message) {
        if (m_cells) {
            m_cells->post(std::move(message));
        }
    };
    m_router.entry = [this](PeerMessage message) {
        if (m_entry) {
            m_entry->post(std::move(message));
        }
    };
}

Daemon::~Daemon()
{
    // Calls from outside end first. The tasks post to each other, so all of them stop before any is destroyed.
    m_rpc.reset();
    m_operators.reset();
    const auto stop = [](const auto &task) {
        if (task) {
            task->stop();
        }
    };
    stop(m_control);
    stop(m_cells);
    stop(m_entry);
    stop(m_proxy);
}

std::optional<Error> Daemon::startControl(const Settings &settings)
{
    auto control = ControlTask::open(ControlOptions{
        .vm = settings.vm,
        .dataCentre = settings.dataCentre,
        .dataFolder = settings.dataFolder,
        .replicas = settings.replicas,
        .peers = settings.peers,
        .address = settings.rpcAddress,
        .formCluster = settings.formCluster,
        .wantedVoters = settings.wantedVoters,
        .keepAdmitting = settings.keepAdmitting,
        .confirmWithin = settings.confirmWithin,
        .replaceReplicaAfter = settings.replaceReplicaAfter,
        .datagrams = datagramsAt(settings, settings.leasePort),
        .metrics = SpreadMetrics::of(m_metrics),
        .send = [this](const VmName &to, v1::Envelope envelope) { send(to, std::move(envelope)); },
    });
    if (!ok(control)) {
        return errorOf(control);
    }
    m_control = std::move(valueOf(control));
    return {};
}

void Daemon::openCells(const Settings &settings)
{
    m_cells = std::make_unique<CellTask>(
        CellTaskOptions{
            .vm = settings.vm,
            .vms = allVms(settings),
            .send = [this](const VmName &to, v1::Envelope envelope) { send(to, std::move(envelope)); },
        },
        m_metrics);
    m_control->post(Subscription{[cells = m_cells.get()](const Configuration &configuration) { cells->post(configuration); }});
}

std::optional<Error> Daemon::openEntry(const Settings &settings)
{
    auto entry = EntryTask::open(EntryOptions{
                                     .vm = settings.vm,
                                     .dataCentre = settings.dataCentre,
                                     .vms = allVms(settings),
                                     .address = settings.httpAddress,
                                     .requestReadLimit = settings.requestReadLimit,
                                     .propose = [control = m_control.get()](Proposal proposal) { control->post(std::move(proposal)); },
                                     .send = [this](const VmName &to, v1::Envelope envelope) { send(to, std::move(envelope)); },
                                     .historyFile = settings.historyFile,
                                     .platformList = settings.platformList,
                                 },
                                 m_metrics);
    if (!ok(entry)) {
        return errorOf(entry);
    }
    m_entry = std::move(valueOf(entry));
    m_control->post(Subscription{[entry = m_entry.get()](const Configuration &configuration) { entry->post(configuration); }});
    return {};
}

std::optional<Error> Daemon::startRpc(const Settings &settings)
{
    OperatorHandlers handlers = operatorHandlers(*m_control);
    handlers.report = [entry = m_entry.get(), burn = handlers.report](const v1::ReportRequest &request, const ReplyCallback<v1::ReportReply> &answer) {
        if (request.burn() || !entry) {
            burn(request, answer);
            return;
        }
        entry->post(ReportQuery{[answer](const v1::ReportReply &reply) { answer(reply); }});
    };
    auto rpc = RpcServer::start(
        settings.rpcAddress,
        std::move(handlers),
        [this](const VmName &from, v1::Envelope &&envelope) { m_router.deliver(from, std::move(envelope)); },
        settings.tls);
    if (!ok(rpc)) {
        return errorOf(rpc);
    }
    m_rpc = std::move(valueOf(rpc));
    return {};
}

/// A task may send to the VM it runs on without knowing it.
void Daemon::send(const VmName &to, v1::Envelope &&envelope)
{
    if (to == m_vm) {
        m_router.deliver(m_vm, std::move(envelope));
        return;
    }
    m_transport.send(to, std::move(envelope));
}

std::uint16_t Daemon::httpPort() const
{
    return m_entry ? m_entry->port() : 0;
}

std::uint16_t Daemon::rpcPort() const
{
    return m_rpc->port();
}

void Daemon::reload(const Settings &settings)
{
    m_control->post(CandidatesNotice{settings.replicas});
}

void Daemon::drain(std::function<void()> drained)
{
    m_control->post(DrainNotice{});
    if (m_proxy) {
        m_proxy->post(ProxyDrain{std::move(drained)});
    } else if (m_entry) {
        m_entry->post(DrainRequest{std::move(drained)});
    } else {
        m_control->post(DepartureNotice{std::move(drained)});
    }
}

}

#include "daemon/daemon.h"

#include "celltask/celltask.h"
#include "common/fatalerrors.h"
#include "common/log.h"
#include "common/memory.h"
#include "control/controltask.h"
#include "control/operatorhandlers.h"
#include "entry/entrytask.h"
#include "peer/rpcserver.h"
#include "proxy/proxytask.h"

#include <algorithm>

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

std::vector<std::string> peerHosts(const Settings &settings)
{
    std::vector<std::string> hosts;
    for (const auto &[vm, address] : settings.peers) {
        hosts.push_back(address.host);
    }
    return hosts;
}

/// Returns nothing under TLS, since datagrams and relayed connections are not authenticated.
std::optional<Address> plaintextAddress(const Settings &settings, std::uint16_t port)
{
    if (settings.tls || port == 0) {
        return {};
    }
    return Address{.host = settings.rpcAddress.host, .port = port};
}

/// One placement server may admit this part of the setting limit_slack beyond a limit. Several servers admit more together before they know of each
/// other's requests, and after takeovers.
constexpr std::uint64_t LimitToleranceDivisor = 8;

/// Covers a request that waits for its slot, or is on its way to an upstream, when the VMs obey an evacuation.
constexpr Duration EvacuationMargin = std::chrono::milliseconds(500);

UpstreamPoolOptions poolOptions(const Settings &settings)
{
    UpstreamPoolOptions options{
        .localDataCentre = settings.dataCentre, .coldRateFactor = settings.proxy->coldRateFactor, .coldRateExtra = settings.proxy->coldRateExtra};
    for (const DataCentreSettings &dataCentre : settings.dataCentres) {
        options.regions[dataCentre.name] = dataCentre.region;
    }
    return options;
}

/// Half of the memory for all that was read from callers and not passed on yet: the process itself, its connections and the allocator's overhead need the rest.
std::size_t bufferBudgetBytes(std::size_t memoryLimit)
{
    return memoryLimit / 2;
}

/// Part of the buffer budget that requests' bodies may use.
std::size_t bodyBudgetBytes(std::size_t memoryLimit)
{
    return memoryLimit / 16 * 5;
}

/// A document takes many times its size while it is parsed.
std::size_t operatorBodyBudgetBytes(std::size_t memoryLimit)
{
    return memoryLimit / 16;
}

std::set<DataCentreName> dataCentreNames(const Settings &settings)
{
    std::set<DataCentreName> names;
    for (const DataCentreSettings &dataCentre : settings.dataCentres) {
        names.insert(dataCentre.name);
    }
    return names;
}

}

std::size_t memoryLimitBytes(const Settings &settings)
{
    const std::size_t limitMb = settings.memoryLimitMb > 0 ? settings.memoryLimitMb : settings.proxy ? settings.proxy->memoryLimitMb : 0;
    return limitMb > 0 ? limitMb << 20 : machineMemoryBytes();
}

std::string fatalErrorsFile(const Settings &settings)
{
    return settings.dataFolder.empty() ? "" : settings.dataFolder + "/fatal-errors";
}

Result<std::unique_ptr<Daemon>> Daemon::start(const Settings &settings, const Adapter &adapter)
{
    std::unique_ptr<Daemon> daemon(new Daemon(settings));
    daemon->recordFatalErrors(settings);
    if (const auto error = daemon->startControl(settings)) {
        return *error;
    }
    if (const auto error = daemon->openServers(settings, adapter)) {
        return *error;
    }
    if (const auto error = daemon->startRpc(settings)) {
        return *error;
    }
    daemon->m_controlTask->start();
    // Started last, so that a VM that answers /healthz also answers operators.
    if (daemon->m_entryTask) {
        daemon->m_cellTask->start();
        daemon->m_entryTask->start();
    }
    if (daemon->m_proxyTask) {
        daemon->m_proxyTask->start();
    }
    return daemon;
}

void Daemon::recordFatalErrors(const Settings &settings)
{
    const int count = countFatalErrors(fatalErrorsFile(settings));
    m_metrics.counter("cumindyke_fatal_errors_total", "Processes of this VM that ended by a fatal error since its disk was empty").add(count);
    if (count > 0) {
        logWarning("daemon", "fatal-errors-before", {{"count", std::to_string(count)}, {"file", fatalErrorsFile(settings)}});
    }
}

/// A VM serves completions, or proxies requests by routes, or serves operators and control only.
std::optional<Error> Daemon::openServers(const Settings &settings, const Adapter &adapter)
{
    if (settings.operatorApi) {
        auto operatorServer
            = adapter.startOperatorServer(*settings.operatorApi, operatorBodyBudgetBytes(memoryLimitBytes(settings)), *m_controlTask, m_metrics);
        if (!ok(operatorServer)) {
            return errorOf(operatorServer);
        }
        m_operatorServer = std::move(valueOf(operatorServer));
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
    const ProxySettings &proxySettings = *settings.proxy;
    const ProxyFeatures features = adapter.addFeatures ? adapter.addFeatures(proxySettings.contracts, proxySettings.features) : proxySettings.features;
    ProxyOptions options{
        .vm = settings.vm,
        .pool = poolOptions(settings),
        .address = settings.proxy->address,
        .readinessAddress = settings.proxy->readinessAddress,
        .readinessPath = adapter.readinessPath,
        .headers = adapter.headers,
        .list = adapter.instanceList(settings.proxy->upstreamList),
        .requestReadLimit = settings.requestReadLimit,
        .shutdownGrace = settings.shutdownGrace,
        // Without datagrams each VM places its own requests.
        .datagrams = plaintextAddress(settings, settings.peerPort),
        .relayAddress = plaintextAddress(settings, settings.relayPort),
        .limitTolerance = settings.limitSlack / LimitToleranceDivisor,
        .features = features,
        .bufferBudgetBytes = bufferBudgetBytes(memoryLimitBytes(settings)),
        .bodyBudgetBytes = bodyBudgetBytes(memoryLimitBytes(settings)),
        .sendTally = [control = m_controlTask.get()](v1::EntryTally tally) { control->post(TallyUpdate{std::move(tally)}); },
        .propose = [control = m_controlTask.get()](Proposal proposal) { control->post(std::move(proposal)); },
    };
    auto proxy = ProxyTask::open(std::move(options), m_metrics);
    if (!ok(proxy)) {
        return errorOf(proxy);
    }
    m_proxyTask = std::move(valueOf(proxy));
    m_controlTask->post(Subscription{[task = m_proxyTask.get()](const Configuration &configuration) { task->post(configuration); }});
    return {};
}

Daemon::Daemon(const Settings &settings)
    : m_vm(settings.vm)
    , m_transport(settings.vm, settings.tls, &m_metrics)
{
    m_transport.setPeers(settings.peers);
    m_transport.setDefaultPort(settings.peerPort);
    m_router.control = [this](PeerMessage message) { m_controlTask->post(std::move(message)); };
    m_router.cell = [this](PeerMessage message) {
        if (m_cellTask) {
            m_cellTask->post(std::move(message));
        }
    };
    m_router.entry = [this](PeerMessage message) {
        if (m_entryTask) {
            m_entryTask->post(std::move(message));
        }
    };
}

Daemon::~Daemon()
{
    // External calls stop first. The tasks post messages to each other, so all of them are stopped before any is destroyed.
    m_rpcServer.reset();
    m_operatorServer.reset();
    const auto stop = [](const auto &task) {
        if (task) {
            task->stop();
        }
    };
    stop(m_controlTask);
    stop(m_cellTask);
    stop(m_entryTask);
    stop(m_proxyTask);
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
        .evacuateWithin = std::max<Duration>(settings.evacuateWithin - EvacuationMargin, Duration::zero()),
        .dataCentres = dataCentreNames(settings),
        .replaceReplicaAfter = settings.replaceReplicaAfter,
        .datagrams = plaintextAddress(settings, settings.leasePort),
        .metrics = DistributionMetrics::of(m_metrics),
        .send = [this](const VmName &to, v1::Envelope envelope) { send(to, std::move(envelope)); },
    });
    if (!ok(control)) {
        return errorOf(control);
    }
    m_controlTask = std::move(valueOf(control));
    return {};
}

void Daemon::openCells(const Settings &settings)
{
    m_cellTask = std::make_unique<CellTask>(
        CellTaskOptions{
            .vm = settings.vm,
            .vms = allVms(settings),
            .send = [this](const VmName &to, v1::Envelope envelope) { send(to, std::move(envelope)); },
        },
        m_metrics);
    m_controlTask->post(Subscription{[cells = m_cellTask.get()](const Configuration &configuration) { cells->post(configuration); }});
}

std::optional<Error> Daemon::openEntry(const Settings &settings)
{
    auto entry = EntryTask::open(EntryOptions{
                                     .vm = settings.vm,
                                     .dataCentre = settings.dataCentre,
                                     .vms = allVms(settings),
                                     .address = settings.httpAddress,
                                     .requestReadLimit = settings.requestReadLimit,
                                     .bodyBudgetBytes = bodyBudgetBytes(memoryLimitBytes(settings)),
                                     .propose = [control = m_controlTask.get()](Proposal proposal) { control->post(std::move(proposal)); },
                                     .send = [this](const VmName &to, v1::Envelope envelope) { send(to, std::move(envelope)); },
                                     .historyFile = settings.historyFile,
                                     .platformList = settings.platformList,
                                     .relayAddress = plaintextAddress(settings, settings.relayPort),
                                     .relayHosts = peerHosts(settings),
                                 },
                                 m_metrics);
    if (!ok(entry)) {
        return errorOf(entry);
    }
    m_entryTask = std::move(valueOf(entry));
    m_controlTask->post(Subscription{[entry = m_entryTask.get()](const Configuration &configuration) { entry->post(configuration); }});
    return {};
}

std::optional<Error> Daemon::startRpc(const Settings &settings)
{
    OperatorHandlers handlers = operatorHandlers(*m_controlTask);
    handlers.report = [entry = m_entryTask.get(), burn = handlers.report](const v1::ReportRequest &request, const ReplyCallback<v1::ReportReply> &answer) {
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
    m_rpcServer = std::move(valueOf(rpc));
    return {};
}

/// Delivers messages to this VM locally, so that tasks need not distinguish it from others.
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
    return m_entryTask ? m_entryTask->port() : 0;
}

std::uint16_t Daemon::rpcPort() const
{
    return m_rpcServer->port();
}

void Daemon::reload(const Settings &settings)
{
    m_controlTask->post(CandidatesUpdate{settings.replicas});
}

void Daemon::drain(std::function<void()> drained)
{
    m_controlTask->post(DrainStarted{});
    if (m_proxyTask) {
        m_proxyTask->post(ProxyDrain{std::move(drained)});
    } else if (m_entryTask) {
        m_entryTask->post(DrainRequest{std::move(drained)});
    } else {
        m_controlTask->post(DepartureRequest{std::move(drained)});
    }
}

}

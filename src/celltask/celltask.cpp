#include "celltask/celltask.h"

#include "cell/convert.h"
#include "common/log.h"
#include "control/movecommands.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr Duration StepInterval = std::chrono::milliseconds(100);
/// Messages that come within this time after a step are answered together by the next one.
constexpr Duration StepDelay = std::chrono::milliseconds(1);
constexpr Duration WatchInterval = std::chrono::milliseconds(200);

CellName cellOf(const Upstream &upstream)
{
    return CellName{upstream.service.value + "/" + upstream.dataCentre.value};
}

}

CellTask::CellTask(CellTaskOptions options, Metrics &metrics)
    : m_options(std::move(options))
    , m_mailbox(m_loop,
                [this](CellTaskMessage &&message) { std::visit([this](auto &&kind) { handle(std::forward<decltype(kind)>(kind)); }, std::move(message)); })
    , m_soon(m_loop, [this] { step(); })
    , m_regular(m_loop, [this] { step(); })
    , m_watch(m_loop, WatchInterval)
    , m_configuration{.declarations = std::make_shared<const Declarations>(), .moves = {}, .cells = {}, .admitUntil = {}, .leaseUntil = {}}
    , m_cellCount(metrics.gauge("cumindyke_cells_scheduled", "Cells that this VM schedules"))
    , m_grantMessages(metrics.counter("cumindyke_grant_messages_total", "Answers to the demands of entry VMs"))
{
    m_watch.loadReceived().connect([this](const UpstreamName &name, const LoadReport &report) {
        if (CellScheduler *scheduler = schedulerOf(name)) {
            const TimePoint now = EventLoop::now();
            scheduler->setUsable(name, !report.draining);
            scheduler->handleLoad(
                name, UpstreamLoad{.running = report.running, .waiting = report.waiting, .generatedTokens = report.generatedTokens, .at = now}, now);
        }
    });
    m_watch.prefixEventsReceived().connect([this](const UpstreamName &name, const std::vector<PrefixEvent> &events) {
        CellScheduler *scheduler = schedulerOf(name);
        if (!scheduler) {
            return;
        }
        for (const PrefixEvent &event : events) {
            scheduler->handleCacheEvent(name, event.prefix, event.stored);
        }
    });
    m_watch.reachable().connect([this](const UpstreamName &name) {
        if (CellScheduler *scheduler = schedulerOf(name)) {
            scheduler->setUsable(name, true);
        }
    });
    m_watch.unreachable().connect([this](const UpstreamName &name) {
        if (CellScheduler *scheduler = schedulerOf(name)) {
            scheduler->setUsable(name, false);
        }
    });
    m_regular.startEvery(StepInterval);
}

CellTask::~CellTask()
{
    stop();
}

void CellTask::start()
{
    m_thread = std::thread([this] { m_loop.run(); });
}

void CellTask::stop()
{
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void CellTask::post(CellTaskMessage message)
{
    m_mailbox.post(std::move(message));
}

void CellTask::handle(Configuration &&configuration)
{
    const TimePoint now = EventLoop::now();
    // A move's share says which upstreams of its new version get work.
    const auto isSame = [](const v1::Move &one, const v1::Move &other) { return one.SerializeAsString() == other.SerializeAsString(); };
    const bool movesChanged = !std::ranges::equal(configuration.moves, m_configuration.moves, isSame);
    const bool declarationsChanged = configuration.declarations != m_configuration.declarations || movesChanged;
    m_configuration = std::move(configuration);
    updateCells(now);
    if (!declarationsChanged) {
        return;
    }
    for (auto &[cell, scheduler] : m_schedulers) {
        updateUpstreams(scheduler, cell, now);
    }
    updateWatch();
}

/// Starts the schedulers of cells that came to this VM, and drops those of cells that left it.
void CellTask::updateCells(TimePoint now)
{
    const std::size_t before = m_schedulers.size();
    bool changed = false;
    for (const auto &[name, assignment] : m_configuration.cells) {
        const CellName cell{name};
        const bool mine = assignment.vm() == m_options.vm.value && now < m_configuration.leaseUntil;
        const bool running = m_schedulers.contains(cell);
        if (running && (!mine || m_epochs[cell].value != assignment.epoch())) {
            m_schedulers.erase(cell);
            changed = true;
            logChange("cell", "scheduler-stopped", {{"cell", name}});
        }
        if (mine && !m_schedulers.contains(cell)) {
            startScheduler(assignment, now);
            changed = true;
        }
    }
    changed |= std::erase_if(m_schedulers, [this](const auto &entry) { return !m_configuration.cells.contains(entry.first.value); }) > 0;
    if (changed || before != m_schedulers.size()) {
        updateWatch();
    }
}

void CellTask::startScheduler(const v1::CellAssignment &assignment, TimePoint now)
{
    const CellName cell{assignment.cell()};
    m_epochs[cell] = Epoch{assignment.epoch()};
    const auto added
        = m_schedulers.emplace(cell, CellScheduler(CellOptions{.cell = cell, .epoch = Epoch{assignment.epoch()}, .entryVms = m_options.vms}, now)).first;
    updateUpstreams(added->second, cell, now);
    logChange("cell", "scheduler-started", {{"cell", cell.value}, {"epoch", std::to_string(assignment.epoch())}});
}

void CellTask::updateUpstreams(CellScheduler &scheduler, const CellName &cell, TimePoint now) const
{
    const std::set<UpstreamName> resting = restingUpstreams(*m_configuration.declarations, movesFromWire(m_configuration.moves));
    std::vector<CellUpstream> upstreams;
    for (const auto &[name, upstream] : m_configuration.declarations->upstreams()) {
        if (cellOf(upstream) == cell && !resting.contains(name)) {
            upstreams.push_back(CellUpstream{.name = name, .version = upstream.version, .slots = upstream.slots});
        }
    }
    scheduler.setUpstreams(upstreams, now);
    std::map<OrganisationName, std::uint32_t> weights;
    for (const auto &[name, organisation] : m_configuration.declarations->organisations()) {
        weights[name] = organisation.weight;
    }
    scheduler.setWeights(weights);
}

/// Only engines report their load; plain services are judged by what entry VMs report.
void CellTask::updateWatch()
{
    std::vector<Upstream> watched;
    for (const auto &[name, upstream] : m_configuration.declarations->upstreams()) {
        const Service *service = m_configuration.declarations->service(upstream.service);
        if (service && service->kind == ServiceKind::Model && m_schedulers.contains(cellOf(upstream))) {
            watched.push_back(upstream);
        }
    }
    m_watch.setUpstreams(watched);
    m_cellCount.set(static_cast<double>(m_schedulers.size()));
}

void CellTask::handle(PeerMessage &&message)
{
    const TimePoint now = EventLoop::now();
    if (message.envelope.has_demand()) {
        if (CellScheduler *scheduler = schedulerOf(message.envelope.demand().cell())) {
            scheduler->handleDemand(message.from, fromProto(message.envelope.demand()), now);
            messageCame(now);
        }
    } else if (message.envelope.has_grant_report()) {
        if (CellScheduler *scheduler = schedulerOf(message.envelope.grant_report().cell())) {
            scheduler->handleReport(message.from, fromProto(message.envelope.grant_report()), now);
            messageCame(now);
        }
    }
}

/// A message after a pause is answered at once: its request waits for it. Soon after other answers it waits for more to come, so that
/// a burst is answered together.
void CellTask::messageCame(TimePoint now)
{
    if (m_stepDue) {
        return;
    }
    m_stepDue = true;
    m_soon.startOnce(std::max(m_lastStep + StepDelay - now, Duration::zero()));
}

void CellTask::step()
{
    const TimePoint now = EventLoop::now();
    m_stepDue = false;
    dropWithoutLease(now);
    for (auto &[cell, scheduler] : m_schedulers) {
        for (const auto &[vm, grants] : scheduler.step(now)) {
            v1::Envelope envelope;
            *envelope.mutable_grants() = toProto(grants);
            m_options.send(vm, std::move(envelope));
            m_grantMessages.add();
            m_lastStep = now;
        }
    }
}

void CellTask::dropWithoutLease(TimePoint now)
{
    if (now < m_configuration.leaseUntil || m_schedulers.empty()) {
        return;
    }
    logWarning("cell", "schedulers-stopped-without-lease", {{"cells", std::to_string(m_schedulers.size())}});
    m_schedulers.clear();
    updateWatch();
}

CellScheduler *CellTask::schedulerOf(const UpstreamName &upstream)
{
    const Upstream *declared = m_configuration.declarations->upstream(upstream);
    return declared ? schedulerOf(cellOf(*declared).value) : nullptr;
}

CellScheduler *CellTask::schedulerOf(const std::string &cell)
{
    const auto found = m_schedulers.find(CellName{cell});
    return found == m_schedulers.end() ? nullptr : &found->second;
}

}

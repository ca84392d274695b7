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
/// Messages received within this time after the last replies are answered together by the next step.
constexpr Duration CoalescingInterval = std::chrono::milliseconds(1);
constexpr Duration LoadPollInterval = std::chrono::milliseconds(200);

CellName cellNameOf(const Upstream &upstream)
{
    return CellName{upstream.service.value + "/" + upstream.dataCentre.value};
}

}

CellTask::CellTask(CellTaskOptions options, Metrics &metrics)
    : m_options(std::move(options))
    , m_mailbox(m_loop,
                [this](CellTaskMessage &&message) {
                    std::visit([this](auto &&typedMessage) { handle(std::forward<decltype(typedMessage)>(typedMessage)); }, std::move(message));
                })
    , m_coalescingTimer(m_loop, [this] { step(); })
    , m_stepTimer(m_loop, [this] { step(); })
    , m_loadPoller(m_loop, LoadPollInterval)
    , m_configuration{.declarations = std::make_shared<const Declarations>(), .moves = {}, .cells = {}, .admitUntil = {}, .leaseUntil = {}}
    , m_cellCount(metrics.gauge("cumindyke_cells_scheduled", "Cells that this VM schedules"))
    , m_grantMessages(metrics.counter("cumindyke_grant_messages_total", "Answers to the demands of entry VMs"))
{
    m_loadPoller.loadReceived().connect([this](const UpstreamName &name, const LoadReport &report) {
        if (CellScheduler *scheduler = schedulerOf(name)) {
            const TimePoint now = EventLoop::now();
            scheduler->setUsable(name, !report.draining);
            scheduler->handleLoad(
                name, UpstreamLoad{.running = report.running, .waiting = report.waiting, .generatedTokens = report.generatedTokens, .at = now}, now);
        }
    });
    m_loadPoller.prefixEventsReceived().connect([this](const UpstreamName &name, const std::vector<PrefixEvent> &events) {
        CellScheduler *scheduler = schedulerOf(name);
        if (!scheduler) {
            return;
        }
        for (const PrefixEvent &event : events) {
            scheduler->handleCacheEvent(name, event.prefix, event.stored);
        }
    });
    m_loadPoller.reachable().connect([this](const UpstreamName &name) {
        if (CellScheduler *scheduler = schedulerOf(name)) {
            scheduler->setUsable(name, true);
        }
    });
    m_loadPoller.unreachable().connect([this](const UpstreamName &name) {
        if (CellScheduler *scheduler = schedulerOf(name)) {
            scheduler->setUsable(name, false);
        }
    });
    m_stepTimer.startEvery(StepInterval);
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
    // The upstreams of a move's new version that get requests depend on the move's share, so a changed move counts as changed declarations.
    const auto isSameMove = [](const v1::Move &left, const v1::Move &right) { return left.SerializeAsString() == right.SerializeAsString(); };
    const bool movesChanged = !std::ranges::equal(configuration.moves, m_configuration.moves, isSameMove);
    const bool evacuationsChanged = configuration.evacuated != m_configuration.evacuated;
    const bool declarationsChanged = configuration.declarations != m_configuration.declarations || movesChanged || evacuationsChanged;
    m_configuration = std::move(configuration);
    updateCells(now);
    if (!declarationsChanged) {
        return;
    }
    for (auto &[cell, scheduler] : m_schedulers) {
        updateUpstreams(scheduler, cell, now);
    }
    updatePolledUpstreams();
}

/// Starts the schedulers of the cells that are newly assigned to this VM, and stops those of the cells that no longer are.
void CellTask::updateCells(TimePoint now)
{
    const std::size_t previousCount = m_schedulers.size();
    bool changed = false;
    for (const auto &[name, assignment] : m_configuration.cells) {
        const CellName cell{name};
        const bool isAssigned = assignment.vm() == m_options.vm.value && now < m_configuration.leaseUntil;
        const bool isRunning = m_schedulers.contains(cell);
        if (isRunning && (!isAssigned || m_epochs[cell].value != assignment.epoch())) {
            m_schedulers.erase(cell);
            changed = true;
            logChange("cell", "scheduler-stopped", {{"cell", name}});
        }
        if (isAssigned && !m_schedulers.contains(cell)) {
            startScheduler(assignment, now);
            changed = true;
        }
    }
    changed |= std::erase_if(m_schedulers, [this](const auto &entry) { return !m_configuration.cells.contains(entry.first.value); }) > 0;
    if (changed || previousCount != m_schedulers.size()) {
        updatePolledUpstreams();
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
    const std::set<UpstreamName> excluded = excludedUpstreams(*m_configuration.declarations, movesFromWire(m_configuration.moves), m_configuration.evacuated);
    std::vector<CellUpstream> upstreams;
    for (const auto &[name, upstream] : m_configuration.declarations->upstreams()) {
        if (cellNameOf(upstream) == cell && !excluded.contains(name)) {
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

/// Sets the upstreams whose load is polled: those of model services. Plain services have no load reports; the entry VMs' reports show whether
/// their upstreams are reachable.
void CellTask::updatePolledUpstreams()
{
    std::vector<Upstream> polled;
    for (const auto &[name, upstream] : m_configuration.declarations->upstreams()) {
        const Service *service = m_configuration.declarations->service(upstream.service);
        if (service && service->kind == ServiceKind::Model && m_schedulers.contains(cellNameOf(upstream))) {
            polled.push_back(upstream);
        }
    }
    m_loadPoller.setUpstreams(polled);
    m_cellCount.set(static_cast<double>(m_schedulers.size()));
}

void CellTask::handle(PeerMessage &&message)
{
    const TimePoint now = EventLoop::now();
    if (message.envelope.has_demand()) {
        if (CellScheduler *scheduler = schedulerOf(message.envelope.demand().cell())) {
            scheduler->handleDemand(message.from, fromProto(message.envelope.demand()), now);
            scheduleStep(now);
        }
    } else if (message.envelope.has_grant_report()) {
        if (CellScheduler *scheduler = schedulerOf(message.envelope.grant_report().cell())) {
            scheduler->handleReport(message.from, fromProto(message.envelope.grant_report()), now);
            scheduleStep(now);
        }
    }
}

/// Schedules a step after a received message: at once after a pause, since a request waits for the reply, but no earlier than the coalescing
/// interval after the last replies, so that a burst of messages is answered together.
void CellTask::scheduleStep(TimePoint now)
{
    if (m_stepScheduled) {
        return;
    }
    m_stepScheduled = true;
    m_coalescingTimer.startOnce(std::max(m_lastReplyAt + CoalescingInterval - now, Duration::zero()));
}

void CellTask::step()
{
    const TimePoint now = EventLoop::now();
    m_stepScheduled = false;
    stopWithoutLease(now);
    for (auto &[cell, scheduler] : m_schedulers) {
        for (const auto &[vm, grants] : scheduler.step(now)) {
            v1::Envelope envelope;
            *envelope.mutable_grants() = toProto(grants);
            m_options.send(vm, std::move(envelope));
            m_grantMessages.add();
            m_lastReplyAt = now;
        }
    }
}

void CellTask::stopWithoutLease(TimePoint now)
{
    if (now < m_configuration.leaseUntil || m_schedulers.empty()) {
        return;
    }
    logWarning("cell", "schedulers-stopped-without-lease", {{"cells", std::to_string(m_schedulers.size())}});
    m_schedulers.clear();
    updatePolledUpstreams();
}

CellScheduler *CellTask::schedulerOf(const UpstreamName &upstream)
{
    const Upstream *declared = m_configuration.declarations->upstream(upstream);
    return declared ? schedulerOf(cellNameOf(*declared).value) : nullptr;
}

CellScheduler *CellTask::schedulerOf(const std::string &cell)
{
    const auto found = m_schedulers.find(CellName{cell});
    return found == m_schedulers.end() ? nullptr : &found->second;
}

}

#include "bench/placementrig.h"

#include "placement/placementclient.h"
#include "placement/placementserver.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <utility>

namespace cumindyke
{

namespace
{

/// As in the daemon (src/proxy/placementhost.cpp): how long changes are gathered, and how often servers decide and tell each other.
constexpr Duration StateDelay = std::chrono::milliseconds(1);
constexpr Duration StateDelayPerWaiting = std::chrono::microseconds(200);
constexpr Duration AdvanceInterval = std::chrono::milliseconds(2);
constexpr Duration AdvanceIntervalPerWaiting = std::chrono::microseconds(100);
constexpr Duration NoticeInterval = std::chrono::milliseconds(30);
constexpr Duration TickInterval = std::chrono::milliseconds(25);
constexpr Duration ListInterval = std::chrono::seconds(1);
/// Between VMs of one data centre, and to an engine.
constexpr Duration LocalDelay = std::chrono::microseconds(300);
/// Callers follow Retry-After up to this part of the time they have left, and come back once.
constexpr int LongestReturnPart = 3;
constexpr std::uint32_t MostTries = 2;
/// Ranks of organisations are this far apart, as in src/proxy/ordermaker.cpp.
constexpr std::uint32_t RoutePriorities = 1'000;
/// As in src/proxy/proxyanswers.cpp.
constexpr std::uint32_t EventsToTellPace = 4;
constexpr std::uint64_t Incarnation = 1;
const ServiceName Service{"engines"};

struct Engine
{
    UpstreamInstance instance;
    EngineModel model;
    bool alive = true;
    std::optional<TimePoint> scheduled;
};

/// One request from its first arrival to its end.
struct Run
{
    LoadRequest request;
    std::uint32_t tries = 0;
    PlacementId place{};
    std::optional<std::size_t> engine;
    TimePoint sentAt;
    TimePoint firstEventAt{};
    TimePoint lastEventAt{};
    Duration longestPause{};
    std::uint32_t events = 0;
    bool paceWanted = false;
    bool ended = false;
};

AnswerPace paceOf(const Run &run)
{
    if (run.events < 2) {
        return {};
    }
    return AnswerPace{.meanMs = static_cast<double>(wholeMilliseconds(run.lastEventAt - run.firstEventAt)) / (run.events - 1),
                      .longestPauseMs = static_cast<std::uint32_t>(wholeMilliseconds(run.longestPause))};
}

class Rig
{
public:
    Rig(const PlacementLoad &load, std::uint64_t seed);
    PlacementOutcome play();

private:
    struct Vm
    {
        VmName name;
        DataCentreName dataCentre;
        std::unique_ptr<PlacementClient> client;
        std::unique_ptr<PlacementServer> server;
        std::map<PlacementId, std::uint32_t> runs;
        bool stateDue = false;
        bool advanceDue = false;
        TimePoint advanced{};
        std::uint64_t notices = 0;
    };
    struct Event
    {
        TimePoint when;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::tie(other.when, other.number) < std::tie(when, number);
        }
    };

    void makeVms();
    void makeEngines();
    void makeLosses();
    void at(TimePoint when, std::function<void()> run);
    void tick();
    void readList();
    void notify(Vm &from);
    Vm &serverOf(Vm &vm);

    void arrive(std::uint32_t index);
    void stateChanged(Vm &vm);
    void sendState(Vm &vm);
    void advanceSoon(Vm &vm);
    void advance(Vm &vm);
    void handleReply(Vm &vm, const VmName &from, const v1::PlacementReply &reply);
    void send(Run &run, const PlacementGranted &granted);
    void refused(Run &run, const PlacementRefused &refusal);
    std::uint32_t nextVm(std::uint32_t vm) const;
    void schedule(std::size_t engine);
    void step(std::size_t engine);
    void takeEvent(const EngineEvent &event);
    void lose(std::size_t engine);
    void finish(Run &run, v1::PlacementOutcome outcome);
    Vm &vmOf(const Run &run)
    {
        return m_vms[run.request.vm];
    }

    const PlacementLoad m_load;
    std::vector<Run> m_runs;
    std::vector<Vm> m_vms;
    std::vector<Engine> m_engines;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
    TimePoint m_now{};
    std::size_t m_ended = 0;
    PlacementOutcome m_outcome;
};

Rig::Rig(const PlacementLoad &load, std::uint64_t seed)
    : m_load(load)
{
    for (const LoadRequest &request : makeLoadRequests(m_load, seed)) {
        m_runs.push_back(Run{.request = request});
        RouteOutcome &route = m_outcome.routes[request.route->name];
        ++route.requests;
        route.owed += request.worth;
    }
    makeVms();
    makeEngines();
    makeLosses();
}

DataCentreName dataCentre(std::uint32_t number)
{
    return DataCentreName{"dc-" + std::to_string(number)};
}

void Rig::makeVms()
{
    v1::FleetTally fleet;
    v1::RouteTable routes;
    for (const LoadOrganisation &organisation : m_load.organisations) {
        v1::RoutedOrganisation &routed = *routes.add_organisations();
        routed.set_name(organisation.name.value);
        routed.set_rate_per_s(organisation.rateLimit);
        routed.set_burst(organisation.burstLimit);
        routed.set_counts_tokens(true);
    }
    for (std::uint32_t i = 0; i < m_load.entryVms; ++i) {
        Vm vm{.name = VmName{"10.0.0." + std::to_string(i + 1)}, .dataCentre = dataCentre(i % m_load.dataCentres), .client = {}, .server = {}, .runs = {}};
        vm.client = std::make_unique<PlacementClient>(vm.name, vm.dataCentre, Incarnation);
        vm.server = std::make_unique<PlacementServer>(vm.dataCentre, 0);
        v1::PlacementVm &placing = *fleet.add_placement_vms();
        placing.set_vm(vm.name.value);
        placing.set_data_centre(vm.dataCentre.value);
        m_vms.push_back(std::move(vm));
    }
    fleet.set_entry_vm_count(m_load.entryVms);
    for (Vm &vm : m_vms) {
        vm.client->setCandidates(fleet);
        vm.server->setFleet(fleet);
        vm.server->setRoutes(routes, m_now);
    }
}

void Rig::makeEngines()
{
    std::uint32_t number = 0;
    for (const LoadEngines &group : m_load.engines) {
        for (std::uint32_t i = 0; i < group.count; ++i) {
            EngineModel model(group.speed);
            model.setSlowness(group.slowness);
            m_engines.push_back(Engine{
                .instance =
                    UpstreamInstance{
                        .name = InstanceName{group.prefix + "-" + std::to_string(i + 1)},
                        .service = Service,
                        .address = Address{.host = "10.0.9.1", .port = 80},
                        .dataCentre = dataCentre(number++ % m_load.dataCentres),
                        .version = VersionName{"v1"},
                        .slots = group.speed.maxBatch,
                    },
                .model = std::move(model),
                .scheduled = {},
            });
        }
    }
}

void Rig::makeLosses()
{
    for (const LoadLoss &loss : m_load.losses) {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (m_engines[i].instance.name.value != loss.engine) {
                continue;
            }
            at(TimePoint(loss.at), [this, i] { lose(i); });
            at(TimePoint(loss.until), [this, i] { m_engines[i].alive = true; });
        }
    }
}

void Rig::at(TimePoint when, std::function<void()> run)
{
    m_events.push(Event{.when = std::max(when, m_now), .number = m_eventCount++, .run = std::move(run)});
}

PlacementOutcome Rig::play()
{
    readList();
    tick();
    for (const Run &run : m_runs) {
        at(run.request.arrival, [this, index = run.request.index] { arrive(index); });
    }
    while (!m_events.empty() && m_ended < m_runs.size()) {
        // Moved out before it runs, for it may add others.
        Event event = std::move(const_cast<Event &>(m_events.top()));
        m_events.pop();
        m_now = event.when;
        event.run();
    }
    return m_outcome;
}

void Rig::readList()
{
    std::vector<UpstreamInstance> list;
    for (const Engine &engine : m_engines) {
        list.push_back(engine.instance);
    }
    for (Vm &vm : m_vms) {
        vm.server->setList(list, m_now);
    }
    at(m_now + ListInterval, [this] { readList(); });
}

void Rig::tick()
{
    for (Vm &vm : m_vms) {
        vm.server->expireTimedOut(m_now);
        stateChanged(vm);
        if (vm.server->hasRequests()) {
            advanceSoon(vm);
        }
    }
    at(m_now + TickInterval, [this] { tick(); });
}

Rig::Vm &Rig::serverOf(Vm &vm)
{
    const VmName &server = vm.client->server(m_now);
    return *std::ranges::find(m_vms, server, &Vm::name);
}

void Rig::arrive(std::uint32_t index)
{
    Run &run = m_runs[index];
    const LoadRequest &request = run.request;
    Vm &vm = vmOf(run);
    ++run.tries;
    run.place = vm.client->requestPlacement(
        SlotRequest{
            .service = Service,
            .rank = request.organisation->priority * RoutePriorities + request.route->priority,
            .promptTokens = request.prompt,
            .objectiveAt = request.arrival + request.route->objective,
            .deadline = request.arrival + request.route->deadline,
            .tried = {},
            .organisation = request.organisation->name,
            .cost = request.prompt + request.answer,
            .maxPauseMs = static_cast<std::uint32_t>(wholeMilliseconds(request.route->longestPause)),
            .expectedEvents = (request.expectedAnswer + m_load.tokensPerEvent - 1) / m_load.tokensPerEvent,
        },
        m_now);
    vm.runs[run.place] = index;
    stateChanged(vm);
}

void Rig::stateChanged(Vm &vm)
{
    if (std::exchange(vm.stateDue, true)) {
        return;
    }
    at(m_now + StateDelay + static_cast<int>(vm.client->waitingCount()) * StateDelayPerWaiting, [this, &vm] { sendState(vm); });
}

void Rig::sendState(Vm &vm)
{
    vm.stateDue = false;
    Vm &server = serverOf(vm);
    const Duration delay = &server == &vm ? Duration::zero() : LocalDelay;
    at(m_now + delay, [this, &vm, &server, state = vm.client->state(m_now)] {
        server.server->handleState(vm.name, state, m_now);
        advanceSoon(server);
    });
}

void Rig::advanceSoon(Vm &vm)
{
    if (std::exchange(vm.advanceDue, true)) {
        return;
    }
    const Duration interval = AdvanceInterval + static_cast<int>(vm.server->waitingCount()) * AdvanceIntervalPerWaiting;
    at(std::max(m_now, vm.advanced + interval), [this, &vm] { advance(vm); });
}

void Rig::advance(Vm &vm)
{
    vm.advanceDue = false;
    vm.advanced = m_now;
    for (auto &[to, reply] : vm.server->advance(m_now)) {
        Vm &asker = *std::ranges::find(m_vms, to, &Vm::name);
        const Duration delay = &asker == &vm ? Duration::zero() : LocalDelay;
        at(m_now + delay, [this, &asker, from = vm.name, reply = std::move(reply)] { handleReply(asker, from, reply); });
    }
    if (vm.notices == 0) {
        notify(vm);
    }
}

void Rig::notify(Vm &from)
{
    v1::LoadNotice notice;
    notice.set_incarnation(Incarnation);
    notice.set_sequence(++from.notices);
    from.server->writeNotice(notice, false, m_now);
    for (Vm &other : m_vms) {
        if (other.dataCentre == from.dataCentre || &serverOf(other) != &other) {
            continue;
        }
        at(m_now + m_load.oneWay, [this, &other, name = from.name, notice] { other.server->handleNotice(name, notice, m_now); });
    }
    at(m_now + NoticeInterval, [this, &from] { notify(from); });
}

void Rig::handleReply(Vm &vm, const VmName &from, const v1::PlacementReply &reply)
{
    for (const PlacementAnswer &answer : vm.client->handleReply(from, reply, m_now)) {
        const PlacementId id = std::visit([](const auto &held) { return held.id; }, answer);
        Run &run = m_runs[vm.runs.at(id)];
        if (const auto *granted = std::get_if<PlacementGranted>(&answer)) {
            send(run, *granted);
        } else {
            refused(run, std::get<PlacementRefused>(answer));
        }
    }
    stateChanged(vm);
}

void Rig::send(Run &run, const PlacementGranted &granted)
{
    const auto found = std::ranges::find(m_engines, granted.upstream.name, [](const Engine &engine) { return engine.instance.name; });
    if (run.engine) {
        ++m_outcome.dispatchedTwice;
        return;
    }
    run.engine = static_cast<std::size_t>(found - m_engines.begin());
    run.sentAt = m_now;
    run.paceWanted = granted.paceWanted;
    if (!found->alive) {
        ++m_outcome.routes[run.request.route->name].failed;
        finish(run, v1::PLACEMENT_FAILED);
        return;
    }
    at(m_now + LocalDelay, [this, &run] {
        m_engines[*run.engine].model.submit(EngineRequest{.id = RequestId{std::to_string(run.request.index)},
                                                          .prompt = TokenCount{run.request.prompt},
                                                          .sharedPrefix = {},
                                                          .answer = TokenCount{run.request.answer}},
                                            m_now);
        schedule(*run.engine);
    });
}

/// The balancer's choice: another VM of the same data centre each time.
std::uint32_t Rig::nextVm(std::uint32_t vm) const
{
    const std::uint32_t next = vm + m_load.dataCentres;
    return next < m_load.entryVms ? next : vm % m_load.dataCentres;
}

void Rig::refused(Run &run, const PlacementRefused &refusal)
{
    RouteOutcome &route = m_outcome.routes[run.request.route->name];
    const Duration left = run.request.arrival + run.request.route->deadline - m_now;
    vmOf(run).client->ended(run.place, v1::PLACEMENT_CANCELLED, {});
    if (run.tries < MostTries && left > Duration::zero()) {
        run.request.vm = nextVm(run.request.vm);
        at(m_now + std::min(refusal.retryAfter, left / LongestReturnPart), [this, index = run.request.index] { arrive(index); });
        return;
    }
    run.ended = true;
    ++m_ended;
    if (refusal.overLimit) {
        ++route.overLimit;
        route.owed -= run.request.worth;
    } else {
        ++route.refused;
        route.refusedAgain += run.tries > 1 ? 1 : 0;
        route.refusedAgainWorth += run.tries > 1 ? run.request.worth : 0;
    }
}

void Rig::schedule(std::size_t engine)
{
    const auto next = m_engines[engine].model.nextEventAt();
    if (!next || m_engines[engine].scheduled == next) {
        return;
    }
    m_engines[engine].scheduled = next;
    at(*next, [this, engine] { step(engine); });
}

void Rig::step(std::size_t engine)
{
    m_engines[engine].scheduled.reset();
    for (const EngineEvent &event : m_engines[engine].model.advance(m_now)) {
        takeEvent(event);
    }
    schedule(engine);
}

void Rig::takeEvent(const EngineEvent &event)
{
    Run &run = m_runs[std::stoul(event.id.value)];
    if (run.ended) {
        return;
    }
    const bool finished = event.kind == EngineEvent::Kind::Finished;
    if (!finished && event.index % m_load.tokensPerEvent != 0) {
        return;
    }
    if (run.events == 0) {
        run.firstEventAt = event.at;
        vmOf(run).client->recordFirstEvent(run.place, event.at - run.sentAt);
        stateChanged(vmOf(run));
    } else {
        run.longestPause = std::max(run.longestPause, event.at - run.lastEventAt);
    }
    run.lastEventAt = event.at;
    ++run.events;
    if (run.events == EventsToTellPace && run.paceWanted) {
        vmOf(run).client->recordEarlyPace(run.place, paceOf(run).meanMs);
        stateChanged(vmOf(run));
    }
    if (!finished) {
        return;
    }
    const LoadRoute &kind = *run.request.route;
    RouteOutcome &route = m_outcome.routes[kind.name];
    if (event.at > run.request.arrival + kind.deadline) {
        ++route.failed;
    } else {
        const bool firstInTime = run.firstEventAt <= run.request.arrival + kind.objective;
        const bool paused = kind.longestPause > Duration::zero() && run.longestPause > kind.longestPause;
        const bool onTime = firstInTime && !paused;
        ++(onTime ? route.onTime : route.late);
        route.paused += firstInTime && paused ? 1 : 0;
        route.earned += onTime ? run.request.worth : run.request.worth * kind.lateWorth / kind.worth;
    }
    finish(run, v1::PLACEMENT_SERVED);
}

void Rig::lose(std::size_t engine)
{
    Engine &lost = m_engines[engine];
    lost.alive = false;
    for (Run &run : m_runs) {
        if (run.ended || run.engine != engine) {
            continue;
        }
        lost.model.cancel(RequestId{std::to_string(run.request.index)});
        ++m_outcome.routes[run.request.route->name].failed;
        finish(run, v1::PLACEMENT_FAILED);
    }
}

void Rig::finish(Run &run, v1::PlacementOutcome outcome)
{
    run.ended = true;
    ++m_ended;
    vmOf(run).client->ended(run.place, outcome, paceOf(run));
    stateChanged(vmOf(run));
}

}

PlacementOutcome playPlacement(const PlacementLoad &load, std::uint64_t seed)
{
    return Rig(load, seed).play();
}

}

#include "bench/moveoutcomes.h"

#include "policy/versionrouter.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

namespace cumindyke
{

namespace
{

constexpr std::size_t EntryVms = 8;
constexpr std::size_t UpstreamsEach = 12;
constexpr std::uint32_t Slots = 32;
/// Requests that wait for a slot; more are refused.
constexpr std::size_t MostWaiting = 100;
constexpr Duration ReportInterval = std::chrono::milliseconds(250);
/// Reports that are lost.
constexpr double LostReports = 0.05;
/// A decision is in force on a VM after this long, and up to as much again.
constexpr Duration DecisionDelay = std::chrono::milliseconds(200);
/// Requests that fail on any version.
constexpr double BaseFailures = 0.002;
constexpr double FirstTokenSeconds = 0.15;
constexpr double PaceSeconds = 0.0105;
constexpr double FirstTokenSpread = 0.35;
constexpr double PaceSpread = 0.1;
/// The new version's first tokens take this much longer in the first seconds of each upstream: its prefix cache is cold.
constexpr double ColdFactor = 1.3;
constexpr Duration ColdFor = std::chrono::seconds(20);
const ServiceName Drafting{"drafting"};
const VersionName OldVersion{"v1"};
const VersionName NewVersion{"v2"};

/// Draws by documented formulas on a generator that the standard fixes, so a seed gives the same run on every machine.
class Draws
{
public:
    explicit Draws(std::uint64_t seed)
        : m_generator(seed)
    {
    }
    /// Even in [0, 1).
    double uniform()
    {
        return static_cast<double>(m_generator() >> 11) * 0x1p-53;
    }
    double exponential(double mean)
    {
        return -mean * std::log(1 - uniform());
    }
    /// Box-Muller.
    double logNormal(double sigma)
    {
        const double radius = std::sqrt(-2 * std::log(1 - uniform()));
        return std::exp(sigma * radius * std::cos(2 * 3.14159265358979323846 * uniform()));
    }

private:
    std::mt19937_64 m_generator;
};

Duration seconds(double value)
{
    return Duration(std::llround(value * 1e6));
}

struct RunningRequest
{
    OutcomeKey key;
    std::size_t vm = 0;
    std::size_t upstream = 0;
    TimePoint sentAt;
    TimePoint firstTokenAt;
    TimePoint endAt;
    double pace = 0;
    std::uint8_t passed = 0;
    bool fails = false;
    bool affected = false;
    bool hasFirstToken = false;
    bool ended = false;
};

struct Event
{
    enum class Kind { Arrival, FirstToken, Paced, End, Report, Look, Decision };
    TimePoint at;
    std::uint64_t order = 0;
    Kind kind = Kind::Arrival;
    std::size_t subject = 0;

    bool operator>(const Event &other) const
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

struct EntryVm
{
    VersionRouter router;
    OutcomeCounters counters;
    std::vector<std::size_t> awaiting;
    std::uint64_t sequence = 0;
};

Declarations makeDeclarations()
{
    std::vector<Change> puts{Service{.name = Drafting, .version = OldVersion}};
    for (std::size_t i = 0; i < 2 * UpstreamsEach; ++i) {
        puts.emplace_back(Upstream{
            .name = UpstreamName{(i < UpstreamsEach ? "old-" : "new-") + std::to_string(100 + i)},
            .service = Drafting,
            .version = i < UpstreamsEach ? OldVersion : NewVersion,
            .dataCentre = DataCentreName{"amman-1"},
            .address = Address{"10.0.0.1", static_cast<std::uint16_t>(9'000 + i)},
            .slots = Slots,
        });
    }
    return Declarations::restored(Revision{1}, puts);
}

class MoveExperiment
{
public:
    MoveExperiment(const MoveScenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_draws(seed)
        , m_declarations(makeDeclarations())
        , m_move(valueOf(Move::start(m_declarations, Drafting, NewVersion, WallTime{scenario.window.count() / 1'000}, WallTime{0})))
        , m_ramp(m_move, UpstreamsEach, WallTime{0})
        , m_faultAt(TimePoint{} + seconds(faultAfter() * toSeconds(scenario.window)))
    {
    }

    MoveRun run()
    {
        push(TimePoint{}, Event::Kind::Arrival, 0);
        push(TimePoint{}, Event::Kind::Look, 0);
        for (std::size_t vm = 0; vm < EntryVms; ++vm) {
            m_vms[vm].router.setMoves({m_move});
            push(TimePoint{} + ReportInterval * static_cast<int>(vm) / static_cast<int>(EntryVms), Event::Kind::Report, vm);
        }
        const TimePoint end = TimePoint{} + m_scenario.window;
        while (m_events.top().at < end + std::chrono::seconds(1)) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        m_result.done = m_move.state == MoveState::Done;
        m_result.inTime = m_result.done && m_move.stateSince <= m_move.deadline;
        m_result.takenBack = m_move.state == MoveState::RolledBack;
        m_result.reason = m_move.reason;
        m_result.endedAfter = std::chrono::milliseconds(m_move.stateSince.value);
        m_result.badShare = static_cast<double>(m_newAfterFault) / static_cast<double>(std::max<std::uint64_t>(1, m_requests));
        m_result.badSeconds = m_firstBadAt && m_lastNewAt > *m_firstBadAt ? toSeconds(m_lastNewAt - *m_firstBadAt) : 0;
        return m_result;
    }

private:
    static double toSeconds(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1e6;
    }
    double faultAfter()
    {
        return m_scenario.fault.after > 0 ? m_scenario.fault.after * (0.1 + 0.9 * m_draws.uniform()) : 0;
    }
    void push(TimePoint at, Event::Kind kind, std::size_t subject)
    {
        m_events.push(Event{.at = at, .order = ++m_order, .kind = kind, .subject = subject});
    }
    WallTime wallNow() const
    {
        return WallTime{m_now.time_since_epoch().count() / 1'000};
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Event::Kind::Arrival:
            arrive();
            push(m_now + seconds(m_draws.exponential(1 / m_scenario.requestsPerSecond)), Event::Kind::Arrival, 0);
            break;
        case Event::Kind::FirstToken:
            firstToken(m_running[event.subject]);
            break;
        case Event::Kind::Paced:
            m_vms[m_running[event.subject].vm].counters.recordTokenInterval(m_running[event.subject].key, seconds(m_running[event.subject].pace));
            break;
        case Event::Kind::End:
            end(m_running[event.subject]);
            break;
        case Event::Kind::Report:
            report(event.subject);
            push(m_now + ReportInterval, Event::Kind::Report, event.subject);
            break;
        case Event::Kind::Look:
            look();
            push(m_now + std::chrono::milliseconds(EvaluationIntervalMs), Event::Kind::Look, 0);
            break;
        case Event::Kind::Decision:
            m_vms[event.subject].router.setMoves({m_move});
            break;
        }
    }

    /// The least full upstream among those the version may use.
    std::size_t pickUpstream(bool isNew) const
    {
        return leastFull(isNew, isNew ? m_newInMove : m_oldInMove);
    }

    std::size_t leastFull(bool isNew, std::size_t count) const
    {
        const std::size_t first = isNew ? UpstreamsEach : 0;
        const auto begin = m_inFlight.begin() + static_cast<std::ptrdiff_t>(first);
        return static_cast<std::size_t>(std::min_element(begin, begin + static_cast<std::ptrdiff_t>(count)) - m_inFlight.begin());
    }

    void arrive()
    {
        ++m_requests;
        const std::size_t vm = std::min(EntryVms - 1, static_cast<std::size_t>(m_draws.uniform() * static_cast<double>(EntryVms)));
        const RequestId id{"vm" + std::to_string(vm) + "-" + std::to_string(m_requests)};
        bool isNew = m_vms[vm].router.choose(Drafting, m_move.state == MoveState::Done ? NewVersion : OldVersion, id, false, m_now) == NewVersion;
        std::size_t upstream = pickUpstream(isNew);
        if (m_inFlight[upstream] >= Slots && m_move.isOpen()) {
            isNew = false;
            upstream = leastFull(false, UpstreamsEach);
        }
        if (m_inFlight[upstream] >= Slots) {
            if (m_waiting.size() < MostWaiting) {
                m_waiting.emplace_back(vm, isNew);
            }
            return;
        }
        send(vm, upstream, isNew);
    }

    /// Requests that found all slots taken go on in the order of their arrival, as slots of their version come free.
    void serveWaiting()
    {
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end(); ++waiting) {
            const auto [vm, meant] = *waiting;
            bool isNew
                = m_move.state == MoveState::Done || (meant && m_vms[vm].router.openMove(Drafting) != nullptr && !m_vms[vm].router.isTripped(Drafting, m_now));
            std::size_t upstream = pickUpstream(isNew);
            if (m_inFlight[upstream] >= Slots && m_move.isOpen()) {
                isNew = false;
                upstream = leastFull(false, UpstreamsEach);
            }
            if (m_inFlight[upstream] >= Slots) {
                continue;
            }
            m_waiting.erase(waiting);
            send(vm, upstream, isNew);
            return;
        }
    }

    void send(std::size_t vm, std::size_t upstream, bool isNew)
    {
        const double load = static_cast<double>(m_inFlight[upstream]) / Slots;
        const double length = m_draws.uniform();
        RunningRequest request{
            .key = OutcomeKey{.service = Drafting,
                              .version = isNew ? NewVersion : OldVersion,
                              .route = m_draws.uniform() < 0.7 ? "completions" : "chat",
                              .lengthClass = static_cast<std::uint8_t>(length < 0.3       ? 5
                                                                           : length < 0.8 ? 7
                                                                                          : 9),
                              .loadClass = static_cast<std::uint8_t>(std::min(3.0, load * 4)),
                              .tier = TierRank{0}},
            .vm = vm,
            .upstream = upstream,
            .sentAt = m_now,
        };
        plan(request, load, isNew);
        if (isNew && m_now >= m_faultAt && !m_scenario.good) {
            ++m_newAfterFault;
            m_lastNewAt = m_now;
        }
        ++m_inFlight[upstream];
        m_vms[vm].counters.sent(request.key);
        m_vms[vm].awaiting.push_back(m_running.size());
        push(request.firstTokenAt, Event::Kind::FirstToken, m_running.size());
        if (!request.fails) {
            push(std::min(request.endAt, request.firstTokenAt + seconds(request.pace * PaceSampleTokens)), Event::Kind::Paced, m_running.size());
        }
        push(request.endAt, Event::Kind::End, m_running.size());
        m_running.push_back(std::move(request));
    }

    /// When the request's tokens come, and whether it fails.
    void plan(RunningRequest &request, double load, bool isNew)
    {
        const MoveFault &fault = m_scenario.fault;
        const bool hit = isNew && !m_scenario.good && m_now >= m_faultAt && load >= fault.overLoad && (fault.route.empty() || fault.route == request.key.route)
            && (!fault.lengthClass || *fault.lengthClass == request.key.lengthClass);
        const bool fleetSlow = m_now >= TimePoint{} + seconds(m_scenario.fleetSlowAfter * toSeconds(m_scenario.window));
        double factor = (hit ? fault.slowness : 1) * (fleetSlow ? m_scenario.fleetSlowness : 1);
        const double first
            = FirstTokenSeconds * (1 + 2 * load * load) * m_draws.logNormal(FirstTokenSpread) * factor * (isNew && isCold(request.upstream) ? ColdFactor : 1);
        request.pace = PaceSeconds * (1 + load) * m_draws.logNormal(PaceSpread) * factor;
        const double tokens = std::exp2(request.key.lengthClass) * (0.5 + 0.5 * m_draws.uniform());
        request.affected = hit && (fault.slowness > 1 || m_draws.uniform() < fault.failing);
        request.fails = (hit && fault.slowness <= 1 && request.affected) || m_draws.uniform() < BaseFailures;
        // A failing request fails at once or with its first token.
        const bool atOnce = request.fails && m_draws.uniform() < 0.5;
        request.firstTokenAt = m_now + seconds(atOnce ? 0.03 : first);
        request.endAt = request.fails ? request.firstTokenAt : request.firstTokenAt + seconds(tokens * request.pace);
    }

    bool isCold(std::size_t upstream)
    {
        const auto [found, isFirst] = m_firstUse.try_emplace(upstream, m_now);
        return m_now - found->second < ColdFor;
    }

    void firstToken(RunningRequest &request)
    {
        request.hasFirstToken = true;
        if (!request.fails) {
            m_vms[request.vm].counters.recordFirstTokenWait(request.key, request.passed, m_now - request.sentAt);
        }
        if (request.affected && !m_firstBadAt) {
            m_firstBadAt = m_now;
        }
    }

    void end(RunningRequest &request)
    {
        request.ended = true;
        --m_inFlight[request.upstream];
        EntryVm &vm = m_vms[request.vm];
        OutcomeCounts &counts = vm.counters.ended(request.key);
        ++(request.fails ? counts.failed : counts.onTime);
        vm.router.ended(Drafting, request.key.version, request.fails, m_now);
        serveWaiting();
    }

    void report(std::size_t number)
    {
        EntryVm &vm = m_vms[number];
        std::erase_if(vm.awaiting, [&](std::size_t index) {
            RunningRequest &request = m_running[index];
            if (!request.hasFirstToken) {
                vm.counters.recordFirstTokenWait(request.key, request.passed, m_now - request.sentAt);
            }
            return request.hasFirstToken;
        });
        ++vm.sequence;
        if (m_draws.uniform() >= LostReports) {
            m_collector.take(VmName{"vm" + std::to_string(number)}, "1", vm.sequence, vm.counters.counts());
        }
    }

    void look()
    {
        if (!m_move.isOpen()) {
            return;
        }
        const std::optional<MoveDecision> decision
            = m_ramp.advance(m_move, compareVersions(m_collector.takeGrowth(), Drafting, OldVersion, NewVersion), wallNow());
        if (!decision || !ok(m_move.decide(decision->state, decision->share, decision->reason, wallNow()))) {
            return;
        }
        if (m_result.firstShare == 0) {
            m_result.firstShare = m_move.share.value;
        }
        m_newInMove = upstreamsInMove(m_declarations, m_move, NewVersion).size();
        m_oldInMove = upstreamsInMove(m_declarations, m_move, OldVersion).size();
        for (std::size_t vm = 0; vm < EntryVms; ++vm) {
            push(m_now + DecisionDelay + seconds(toSeconds(DecisionDelay) * m_draws.uniform()), Event::Kind::Decision, vm);
        }
    }

    const MoveScenario &m_scenario;
    Draws m_draws;
    Declarations m_declarations;
    Move m_move;
    MoveRamp m_ramp;
    TimePoint m_faultAt;
    TimePoint m_now;
    std::array<EntryVm, EntryVms> m_vms;
    std::array<std::uint32_t, 2 * UpstreamsEach> m_inFlight{};
    std::size_t m_newInMove = 1;
    std::size_t m_oldInMove = UpstreamsEach;
    std::map<std::size_t, TimePoint> m_firstUse;
    std::vector<RunningRequest> m_running;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    OutcomeCollector m_collector;
    std::deque<std::pair<std::size_t, bool>> m_waiting;
    std::uint64_t m_requests = 0;
    std::uint64_t m_newAfterFault = 0;
    std::optional<TimePoint> m_firstBadAt;
    TimePoint m_lastNewAt;
    MoveRun m_result;
};

}

const std::vector<MoveScenario> &moveScenarios()
{
    static const std::vector<MoveScenario> Scenarios{
        {.name = "move-good", .good = true},
        {.name = "move-fails-at-once", .fault = {.failing = 1}},
        {.name = "move-fails-in-part", .fault = {.failing = 0.3}},
        {.name = "move-slows-at-once", .slows = true, .fault = {.slowness = 3}},
        {.name = "move-fails-later", .fault = {.after = 0.75, .failing = 1}},
        {.name = "move-slows-later", .slows = true, .fault = {.after = 0.75, .slowness = 3}},
        {.name = "move-fails-under-load", .fault = {.failing = 1, .overLoad = 0.7}},
        {.name = "move-slows-under-load", .slows = true, .fault = {.slowness = 3, .overLoad = 0.7}},
        {.name = "move-fails-on-one-route", .fault = {.failing = 1, .route = "chat"}},
        {.name = "move-slows-for-long-answers", .slows = true, .fault = {.slowness = 3, .lengthClass = 9}},
        {.name = "move-good-while-fleet-slows", .good = true, .fleetSlowness = 2},
        {.name = "move-too-little-traffic", .good = true, .undecidable = true, .requestsPerSecond = 0.1},
        {.name = "move-deadline-too-tight", .good = true, .undecidable = true, .window = std::chrono::seconds(30)},
    };
    return Scenarios;
}

const MoveScenario *moveScenario(const std::string &name)
{
    const auto found = std::ranges::find(moveScenarios(), name, &MoveScenario::name);
    return found == moveScenarios().end() ? nullptr : &*found;
}

MoveRun runMove(const MoveScenario &scenario, std::uint64_t seed)
{
    return MoveExperiment(scenario, seed).run();
}

}

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
constexpr std::size_t UpstreamsPerVersion = 12;
constexpr std::uint32_t SlotsPerUpstream = 32;
/// Maximum number of queued requests; more are refused.
constexpr std::size_t MaxWaiting = 100;
constexpr Duration ReportInterval = std::chrono::milliseconds(250);
/// Ratio of reports that are lost.
constexpr double ReportLossRatio = 0.05;
/// Minimum delay until a decision takes effect on a VM; the maximum is twice as long.
constexpr Duration DecisionDelay = std::chrono::milliseconds(200);
/// Ratio of requests that fail on any version.
constexpr double BaseFailureRatio = 0.002;
constexpr double FirstTokenSeconds = 0.15;
constexpr double SecondsPerToken = 0.0105;
constexpr double FirstTokenSigma = 0.35;
constexpr double PaceSigma = 0.1;
/// Slowdown of first tokens on a new upstream during its first seconds, while its prefix cache is cold.
constexpr double ColdCacheSlowdown = 1.3;
constexpr Duration ColdCacheDuration = std::chrono::seconds(20);
const ServiceName Drafting{"drafting"};
const VersionName OldVersion{"v1"};
const VersionName NewVersion{"v2"};

/// Random values by documented formulas on a generator that the C++ standard fixes, so that a seed gives the same run on every machine.
class MoveRandom
{
public:
    explicit MoveRandom(std::uint64_t seed)
        : m_generator(seed)
    {
    }
    /// Uniform in [0, 1).
    double uniform()
    {
        return static_cast<double>(m_generator() >> 11) * 0x1p-53;
    }
    double exponential(double mean)
    {
        return -mean * std::log(1 - uniform());
    }
    /// Log-normal with median 1, by the Box-Muller method.
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
    std::uint8_t passedThresholds = 0;
    bool fails = false;
    bool affected = false;
    bool hasFirstToken = false;
    bool ended = false;
};

struct Event
{
    enum class Kind { Arrival, FirstToken, EarlyPace, End, Report, RampStep, Decision };
    TimePoint at;
    std::uint64_t sequence = 0;
    Kind kind = Kind::Arrival;
    std::size_t index = 0;

    bool operator>(const Event &other) const
    {
        return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
};

struct EntryVm
{
    VersionRouter router;
    OutcomeCounters counters;
    std::vector<std::size_t> awaitingFirstToken;
    std::uint64_t sequence = 0;
};

Declarations makeDeclarations()
{
    std::vector<Change> changes{Service{.name = Drafting, .version = OldVersion}};
    for (std::size_t i = 0; i < 2 * UpstreamsPerVersion; ++i) {
        changes.emplace_back(Upstream{
            .name = UpstreamName{(i < UpstreamsPerVersion ? "old-" : "new-") + std::to_string(100 + i)},
            .service = Drafting,
            .version = i < UpstreamsPerVersion ? OldVersion : NewVersion,
            .dataCentre = DataCentreName{"amman-1"},
            .address = Address{"10.0.0.1", static_cast<std::uint16_t>(9'000 + i)},
            .slots = SlotsPerUpstream,
        });
    }
    return Declarations::restored(Revision{1}, changes);
}

class MoveExperiment
{
public:
    MoveExperiment(const MoveScenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_declarations(makeDeclarations())
        , m_move(valueOf(Move::start(m_declarations, Drafting, NewVersion, WallTime{scenario.window.count() / 1'000}, WallTime{0})))
        , m_ramp(m_move, UpstreamsPerVersion, WallTime{0})
        , m_faultAt(TimePoint{} + seconds(randomFaultStart() * toSeconds(scenario.window)))
    {
    }

    MoveResult run()
    {
        push(TimePoint{}, Event::Kind::Arrival, 0);
        push(TimePoint{}, Event::Kind::RampStep, 0);
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
        m_result.rolledBack = m_move.state == MoveState::RolledBack;
        m_result.reason = m_move.reason;
        m_result.endedAfter = std::chrono::milliseconds(m_move.stateSince.value);
        m_result.badShare = static_cast<double>(m_newRequestsAfterFault) / static_cast<double>(std::max<std::uint64_t>(1, m_requests));
        m_result.badSeconds = m_firstBadAt && m_lastNewDispatchAt > *m_firstBadAt ? toSeconds(m_lastNewDispatchAt - *m_firstBadAt) : 0;
        return m_result;
    }

private:
    static double toSeconds(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1e6;
    }
    double randomFaultStart()
    {
        return m_scenario.fault.startRatio > 0 ? m_scenario.fault.startRatio * (0.1 + 0.9 * m_random.uniform()) : 0;
    }
    void push(TimePoint at, Event::Kind kind, std::size_t index)
    {
        m_events.push(Event{.at = at, .sequence = ++m_lastSequence, .kind = kind, .index = index});
    }
    WallTime wallNow() const
    {
        return WallTime{m_now.time_since_epoch().count() / 1'000};
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Event::Kind::Arrival:
            handleArrival();
            push(m_now + seconds(m_random.exponential(1 / m_scenario.requestsPerSecond)), Event::Kind::Arrival, 0);
            break;
        case Event::Kind::FirstToken:
            handleFirstToken(m_running[event.index]);
            break;
        case Event::Kind::EarlyPace:
            m_vms[m_running[event.index].vm].counters.recordTokenInterval(m_running[event.index].key, seconds(m_running[event.index].pace));
            break;
        case Event::Kind::End:
            handleEnd(m_running[event.index]);
            break;
        case Event::Kind::Report:
            sendReport(event.index);
            push(m_now + ReportInterval, Event::Kind::Report, event.index);
            break;
        case Event::Kind::RampStep:
            advanceRamp();
            push(m_now + std::chrono::milliseconds(EvaluationIntervalMs), Event::Kind::RampStep, 0);
            break;
        case Event::Kind::Decision:
            m_vms[event.index].router.setMoves({m_move});
            break;
        }
    }

    /// Returns the least loaded upstream among those that the version may use.
    std::size_t leastLoadedUpstream(bool isNew) const
    {
        return leastLoadedAmong(isNew, isNew ? m_newUpstreamCount : m_oldUpstreamCount);
    }

    std::size_t leastLoadedAmong(bool isNew, std::size_t count) const
    {
        const std::size_t first = isNew ? UpstreamsPerVersion : 0;
        const auto begin = m_inFlight.begin() + static_cast<std::ptrdiff_t>(first);
        return static_cast<std::size_t>(std::min_element(begin, begin + static_cast<std::ptrdiff_t>(count)) - m_inFlight.begin());
    }

    void handleArrival()
    {
        ++m_requests;
        const std::size_t vm = std::min(EntryVms - 1, static_cast<std::size_t>(m_random.uniform() * static_cast<double>(EntryVms)));
        const RequestId id{"vm" + std::to_string(vm) + "-" + std::to_string(m_requests)};
        bool isNew = m_vms[vm].router.choose(Drafting, m_move.state == MoveState::Done ? NewVersion : OldVersion, id, false, m_now) == NewVersion;
        std::size_t upstream = leastLoadedUpstream(isNew);
        if (m_inFlight[upstream] >= SlotsPerUpstream && m_move.isOpen()) {
            isNew = false;
            upstream = leastLoadedAmong(false, UpstreamsPerVersion);
        }
        if (m_inFlight[upstream] >= SlotsPerUpstream) {
            if (m_waiting.size() < MaxWaiting) {
                m_waiting.emplace_back(vm, isNew);
            }
            return;
        }
        dispatch(vm, upstream, isNew);
    }

    /// Dispatches the first waiting request that has a free slot, in order of arrival.
    void dispatchWaiting()
    {
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end(); ++waiting) {
            const auto [vm, assignedToNew] = *waiting;
            bool isNew = m_move.state == MoveState::Done
                || (assignedToNew && m_vms[vm].router.openMove(Drafting) != nullptr && !m_vms[vm].router.isTripped(Drafting, m_now));
            std::size_t upstream = leastLoadedUpstream(isNew);
            if (m_inFlight[upstream] >= SlotsPerUpstream && m_move.isOpen()) {
                isNew = false;
                upstream = leastLoadedAmong(false, UpstreamsPerVersion);
            }
            if (m_inFlight[upstream] >= SlotsPerUpstream) {
                continue;
            }
            m_waiting.erase(waiting);
            dispatch(vm, upstream, isNew);
            return;
        }
    }

    void dispatch(std::size_t vm, std::size_t upstream, bool isNew)
    {
        const double load = static_cast<double>(m_inFlight[upstream]) / SlotsPerUpstream;
        const double length = m_random.uniform();
        RunningRequest request{
            .key = OutcomeKey{.service = Drafting,
                              .version = isNew ? NewVersion : OldVersion,
                              .route = m_random.uniform() < 0.7 ? "completions" : "chat",
                              .lengthClass = static_cast<std::uint8_t>(length < 0.3       ? 5
                                                                           : length < 0.8 ? 7
                                                                                          : 9),
                              .loadClass = static_cast<std::uint8_t>(std::min(3.0, load * 4)),
                              .tier = TierRank{0}},
            .vm = vm,
            .upstream = upstream,
            .sentAt = m_now,
        };
        planRequest(request, load, isNew);
        if (isNew && m_now >= m_faultAt && !m_scenario.good) {
            ++m_newRequestsAfterFault;
            m_lastNewDispatchAt = m_now;
        }
        ++m_inFlight[upstream];
        m_vms[vm].counters.sent(request.key);
        m_vms[vm].awaitingFirstToken.push_back(m_running.size());
        push(request.firstTokenAt, Event::Kind::FirstToken, m_running.size());
        if (!request.fails) {
            push(std::min(request.endAt, request.firstTokenAt + seconds(request.pace * PaceSampleTokens)), Event::Kind::EarlyPace, m_running.size());
        }
        push(request.endAt, Event::Kind::End, m_running.size());
        m_running.push_back(std::move(request));
    }

    /// Decides the times of the request's tokens and whether it fails.
    void planRequest(RunningRequest &request, double load, bool isNew)
    {
        const MoveFault &fault = m_scenario.fault;
        const bool inFault = isNew && !m_scenario.good && m_now >= m_faultAt && load >= fault.minLoadRatio
            && (fault.route.empty() || fault.route == request.key.route) && (!fault.lengthClass || *fault.lengthClass == request.key.lengthClass);
        const bool fleetSlow = m_now >= TimePoint{} + seconds(m_scenario.fleetSlowdownStart * toSeconds(m_scenario.window));
        double factor = (inFault ? fault.slowness : 1) * (fleetSlow ? m_scenario.fleetSlowdown : 1);
        const double first = FirstTokenSeconds * (1 + 2 * load * load) * m_random.logNormal(FirstTokenSigma) * factor
            * (isNew && isCold(request.upstream) ? ColdCacheSlowdown : 1);
        request.pace = SecondsPerToken * (1 + load) * m_random.logNormal(PaceSigma) * factor;
        const double tokens = std::exp2(request.key.lengthClass) * (0.5 + 0.5 * m_random.uniform());
        request.affected = inFault && (fault.slowness > 1 || m_random.uniform() < fault.failureRatio);
        request.fails = (inFault && fault.slowness <= 1 && request.affected) || m_random.uniform() < BaseFailureRatio;
        // Half of the failing requests fail at once, the others at the time of their first token.
        const bool failsImmediately = request.fails && m_random.uniform() < 0.5;
        request.firstTokenAt = m_now + seconds(failsImmediately ? 0.03 : first);
        request.endAt = request.fails ? request.firstTokenAt : request.firstTokenAt + seconds(tokens * request.pace);
    }

    bool isCold(std::size_t upstream)
    {
        const auto [found, isFirst] = m_firstUse.try_emplace(upstream, m_now);
        return m_now - found->second < ColdCacheDuration;
    }

    void handleFirstToken(RunningRequest &request)
    {
        request.hasFirstToken = true;
        if (!request.fails) {
            m_vms[request.vm].counters.recordFirstTokenWait(request.key, request.passedThresholds, m_now - request.sentAt);
        }
        if (request.affected && !m_firstBadAt) {
            m_firstBadAt = m_now;
        }
    }

    void handleEnd(RunningRequest &request)
    {
        request.ended = true;
        --m_inFlight[request.upstream];
        EntryVm &vm = m_vms[request.vm];
        OutcomeCounts &counts = vm.counters.ended(request.key);
        ++(request.fails ? counts.failed : counts.onTime);
        vm.router.ended(Drafting, request.key.version, request.fails, m_now);
        dispatchWaiting();
    }

    void sendReport(std::size_t vmIndex)
    {
        EntryVm &vm = m_vms[vmIndex];
        std::erase_if(vm.awaitingFirstToken, [&](std::size_t index) {
            RunningRequest &request = m_running[index];
            if (!request.hasFirstToken) {
                vm.counters.recordFirstTokenWait(request.key, request.passedThresholds, m_now - request.sentAt);
            }
            return request.hasFirstToken;
        });
        ++vm.sequence;
        if (m_random.uniform() >= ReportLossRatio) {
            m_collector.take(VmName{"vm" + std::to_string(vmIndex)}, "1", vm.sequence, vm.counters.counts());
        }
    }

    void advanceRamp()
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
        m_newUpstreamCount = upstreamsInMove(m_declarations, m_move, NewVersion).size();
        m_oldUpstreamCount = upstreamsInMove(m_declarations, m_move, OldVersion).size();
        for (std::size_t vm = 0; vm < EntryVms; ++vm) {
            push(m_now + DecisionDelay + seconds(toSeconds(DecisionDelay) * m_random.uniform()), Event::Kind::Decision, vm);
        }
    }

    const MoveScenario &m_scenario;
    MoveRandom m_random;
    Declarations m_declarations;
    Move m_move;
    MoveRamp m_ramp;
    TimePoint m_faultAt;
    TimePoint m_now;
    std::array<EntryVm, EntryVms> m_vms;
    std::array<std::uint32_t, 2 * UpstreamsPerVersion> m_inFlight{};
    std::size_t m_newUpstreamCount = 1;
    std::size_t m_oldUpstreamCount = UpstreamsPerVersion;
    std::map<std::size_t, TimePoint> m_firstUse;
    std::vector<RunningRequest> m_running;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_lastSequence = 0;
    OutcomeCollector m_collector;
    std::deque<std::pair<std::size_t, bool>> m_waiting;
    std::uint64_t m_requests = 0;
    std::uint64_t m_newRequestsAfterFault = 0;
    std::optional<TimePoint> m_firstBadAt;
    TimePoint m_lastNewDispatchAt;
    MoveResult m_result;
};

}

const std::vector<MoveScenario> &moveScenarios()
{
    static const std::vector<MoveScenario> Scenarios{
        {.name = "move-good", .good = true},
        {.name = "move-fails-at-once", .fault = {.failureRatio = 1}},
        {.name = "move-fails-in-part", .fault = {.failureRatio = 0.3}},
        {.name = "move-slows-at-once", .slowsDown = true, .fault = {.slowness = 3}},
        {.name = "move-fails-later", .fault = {.startRatio = 0.75, .failureRatio = 1}},
        {.name = "move-slows-later", .slowsDown = true, .fault = {.startRatio = 0.75, .slowness = 3}},
        {.name = "move-fails-under-load", .fault = {.failureRatio = 1, .minLoadRatio = 0.7}},
        {.name = "move-slows-under-load", .slowsDown = true, .fault = {.slowness = 3, .minLoadRatio = 0.7}},
        {.name = "move-fails-on-one-route", .fault = {.failureRatio = 1, .route = "chat"}},
        {.name = "move-slows-for-long-answers", .slowsDown = true, .fault = {.slowness = 3, .lengthClass = 9}},
        {.name = "move-good-while-fleet-slows", .good = true, .fleetSlowdown = 2},
        {.name = "move-too-little-traffic", .good = true, .undecidable = true, .requestsPerSecond = 0.1},
        {.name = "move-deadline-too-tight", .good = true, .undecidable = true, .window = std::chrono::seconds(30)},
    };
    return Scenarios;
}

const MoveScenario *findMoveScenario(const std::string &name)
{
    const auto found = std::ranges::find(moveScenarios(), name, &MoveScenario::name);
    return found == moveScenarios().end() ? nullptr : &*found;
}

MoveResult runMove(const MoveScenario &scenario, std::uint64_t seed)
{
    return MoveExperiment(scenario, seed).run();
}

}

#include "control/follower.h"

#include "control/convert.h"

#include <optional>

namespace cumindyke
{

namespace
{

/// At two heartbeats a second these cover more time than any lease.
constexpr std::size_t MaxSentHeartbeats = 64;
/// A VM that missed more changes than this gets the full declarations: at about 200 bytes a change, neither is ever large.
constexpr std::size_t MaxChangesInUpdate = 256;

/// Returns the declarations with the changes of the update applied; no value if changes before them are missing.
std::optional<Declarations> declarationsWithChanges(const Declarations &current, const v1::ConfigUpdate &update)
{
    if (update.from_revision() > current.revision().value) {
        return {};
    }
    Declarations next = current;
    for (const v1::HistoryEntry &entry : update.changes()) {
        if (entry.revision() <= next.revision().value) {
            continue;
        }
        std::vector<Change> changes;
        for (const v1::Change &wire : entry.changes()) {
            const Result<Change> change = fromWire(wire);
            if (!ok(change)) {
                return {};
            }
            changes.push_back(valueOf(change));
        }
        const Result<Declarations> applied = next.apply(changes);
        if (!ok(applied)) {
            return {};
        }
        next = valueOf(applied);
    }
    if (next.revision().value != update.revision()) {
        return {};
    }
    return next;
}

}

Follower::Follower(FollowerOptions options)
    : m_options(std::move(options))
    , m_lastHeartbeat(m_options.incarnation)
    , m_declarations(std::make_shared<const Declarations>())
{
}

v1::ConfigHeartbeat Follower::makeHeartbeat(TimePoint now)
{
    v1::ConfigHeartbeat heartbeat;
    heartbeat.set_vm(m_options.vm.value);
    heartbeat.set_data_centre(m_options.dataCentre.value);
    heartbeat.set_incarnation(m_options.incarnation);
    heartbeat.set_revision(m_declarations->revision().value);
    heartbeat.set_version(m_version);
    heartbeat.set_beat(++m_lastHeartbeat);
    heartbeat.set_draining(m_draining);
    heartbeat.set_whole(m_needsFullDeclarations);
    heartbeat.set_gap(m_gap);
    heartbeat.set_routes_version(m_routes && !m_needsFullRoutes ? m_routes->version() : 0);
    heartbeat.set_keep_admitting_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.keepAdmitting).count()));
    m_heartbeatSentAt.emplace(m_lastHeartbeat, now);
    if (m_heartbeatSentAt.size() > MaxSentHeartbeats) {
        m_heartbeatSentAt.erase(m_heartbeatSentAt.begin());
    }
    return heartbeat;
}

bool Follower::handleLease(const v1::ConfigLease &lease)
{
    const auto sent = m_heartbeatSentAt.find(lease.beat());
    if (sent == m_heartbeatSentAt.end() || lease.length_ms() == 0) {
        return false;
    }
    const TimePoint until = sent->second + std::chrono::milliseconds(lease.length_ms());
    if (until <= m_leaseUntil) {
        return false;
    }
    m_leaseUntil = until;
    return true;
}

TimePoint Follower::admitUntil() const
{
    return m_leaseUntil == TimePoint{} ? TimePoint{} : m_leaseUntil + m_options.keepAdmitting;
}

Follower::UpdateResult Follower::reportGap()
{
    m_gap = true;
    return UpdateResult::Gap;
}

Follower::UpdateResult Follower::applyUpdate(const v1::ConfigUpdate &update)
{
    // Messages arrive late, more than once and in any order: only a higher version may replace the configuration in force.
    if (update.version() <= m_version) {
        return UpdateResult::Outdated;
    }
    RouteTablePointer routes = m_routes;
    if (update.routes_version() != (m_routes ? m_routes->version() : 0)) {
        Result<RouteTablePointer> updated = applyRoutesUpdate(m_routes, update.routes());
        if (!ok(updated)) {
            const bool startsAtCurrent = !update.routes().changes().empty() && m_routes && update.routes().changes(0).from_version() <= m_routes->version();
            m_needsFullRoutes = m_needsFullRoutes || startsAtCurrent;
            return reportGap();
        }
        routes = std::move(valueOf(updated));
    }
    if (update.has_whole()) {
        const Result<Declarations> whole = fromWire(update.whole());
        if (!ok(whole)) {
            return reportGap();
        }
        m_declarations = std::make_shared<const Declarations>(valueOf(whole));
    } else if (update.revision() != m_declarations->revision().value) {
        std::optional<Declarations> next = declarationsWithChanges(*m_declarations, update);
        if (!next) {
            // Changes that start at the current revision and do not fit would not fit after another repair either.
            m_needsFullDeclarations = m_needsFullDeclarations || update.from_revision() <= m_declarations->revision().value;
            return reportGap();
        }
        m_declarations = std::make_shared<const Declarations>(std::move(*next));
    }
    m_version = update.version();
    m_needsFullDeclarations = false;
    m_needsFullRoutes = false;
    m_gap = false;
    m_routes = std::move(routes);
    m_rollouts.assign(update.rollouts().begin(), update.rollouts().end());
    m_evacuated.clear();
    for (const std::string &dataCentre : update.evacuated_data_centres()) {
        m_evacuated.insert(DataCentreName{dataCentre});
    }
    m_moves.assign(update.moves().begin(), update.moves().end());
    m_cells.clear();
    for (const v1::CellAssignment &cell : update.cells()) {
        v1::CellAssignment &assignment = m_cells[cell.cell()];
        assignment = cell;
        // A process that restarted within its lease does not know what the process before it had granted: it waits for a new epoch.
        if (cell.vm() == m_options.vm.value && cell.incarnation() != m_options.incarnation) {
            assignment.clear_vm();
        }
    }
    return UpdateResult::Applied;
}

namespace
{

/// Returns an update with the parts that every update has; they are small compared with the declarations.
v1::ConfigUpdate makeBaseUpdate(const StateMachine &state, std::uint64_t routesVersion)
{
    v1::ConfigUpdate update;
    update.set_version(state.version());
    update.set_revision(state.declarations().revision().value);
    for (const auto &[name, move] : state.moves()) {
        *update.add_moves() = move;
    }
    for (const auto &[name, cell] : state.cells()) {
        *update.add_cells() = cell;
    }
    update.set_routes_version(state.routeHistory().newest().version());
    if (routesVersion != update.routes_version()) {
        *update.mutable_routes() = state.routeHistory().updateSince(routesVersion);
    }
    for (const auto &[service, rollout] : state.rollouts()) {
        *update.add_rollouts() = rollout;
    }
    for (const DataCentreName &dataCentre : state.evacuations().active()) {
        update.add_evacuated_data_centres(dataCentre.value);
    }
    return update;
}

}

v1::ConfigUpdate makeConfigUpdate(const StateMachine &state, Revision from, std::uint64_t routesVersion)
{
    const Revision newest = state.declarations().revision();
    const Revision start = std::min(from, newest);
    const std::uint64_t missed = newest.value - start.value;
    if (missed > MaxChangesInUpdate) {
        return makeFullConfigUpdate(state);
    }
    const std::vector<v1::HistoryEntry> changes = state.historyAfter(start);
    if (changes.size() != missed) {
        return makeFullConfigUpdate(state);
    }
    v1::ConfigUpdate update = makeBaseUpdate(state, routesVersion);
    update.set_from_revision(start.value);
    update.mutable_changes()->Add(changes.begin(), changes.end());
    return update;
}

v1::ConfigUpdate makeFullConfigUpdate(const StateMachine &state)
{
    v1::ConfigUpdate update = makeBaseUpdate(state, 0);
    *update.mutable_whole() = toWire(state.declarations());
    return update;
}

}

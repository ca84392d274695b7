#include "control/follower.h"

#include "control/convert.h"

#include <optional>

namespace cumindyke
{

namespace
{

/// At two beats a second, longer than any lease.
constexpr std::size_t MaxBeatsRemembered = 64;
/// A VM that missed more changes than this gets the whole declarations: at about 200 bytes a change, neither is ever large.
constexpr std::size_t MaxChangesInUpdate = 256;

/// The declarations with the update's changes made, or nothing when some before them are missing.
std::optional<Declarations> withChanges(const Declarations &current, const v1::ConfigUpdate &update)
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
    , m_nextBeat(m_options.incarnation)
    , m_declarations(std::make_shared<const Declarations>())
{
}

v1::ConfigHeartbeat Follower::beat(TimePoint now)
{
    v1::ConfigHeartbeat beat;
    beat.set_vm(m_options.vm.value);
    beat.set_data_centre(m_options.dataCentre.value);
    beat.set_incarnation(m_options.incarnation);
    beat.set_revision(m_declarations->revision().value);
    beat.set_version(m_version);
    beat.set_beat(++m_nextBeat);
    beat.set_draining(m_draining);
    beat.set_whole(m_needsWhole);
    beat.set_gap(m_gap);
    beat.set_routes_version(m_routes && !m_needsWholeRoutes ? m_routes->version() : 0);
    beat.set_keep_admitting_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.keepAdmitting).count()));
    m_sent.emplace(m_nextBeat, now);
    if (m_sent.size() > MaxBeatsRemembered) {
        m_sent.erase(m_sent.begin());
    }
    return beat;
}

bool Follower::granted(const v1::ConfigLease &lease)
{
    const auto sent = m_sent.find(lease.beat());
    if (sent == m_sent.end() || lease.length_ms() == 0) {
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

Follower::Taken Follower::missing()
{
    m_gap = true;
    return Taken::Gap;
}

Follower::Taken Follower::update(const v1::ConfigUpdate &update)
{
    // Messages come late, twice and in any order: only a higher version may change what is in force.
    if (update.version() <= m_version) {
        return Taken::Old;
    }
    RouteTablePointer routes = m_routes;
    if (update.routes_version() != (m_routes ? m_routes->version() : 0)) {
        Result<RouteTablePointer> updated = applyRoutesUpdate(m_routes, update.routes());
        if (!ok(updated)) {
            const bool startsHere = !update.routes().changes().empty() && m_routes && update.routes().changes(0).from_version() <= m_routes->version();
            m_needsWholeRoutes = m_needsWholeRoutes || startsHere;
            return missing();
        }
        routes = std::move(valueOf(updated));
    }
    if (update.has_whole()) {
        const Result<Declarations> whole = fromWire(update.whole());
        if (!ok(whole)) {
            return missing();
        }
        m_declarations = std::make_shared<const Declarations>(valueOf(whole));
    } else if (update.revision() != m_declarations->revision().value) {
        std::optional<Declarations> next = withChanges(*m_declarations, update);
        if (!next) {
            // Changes that start where this VM is and still do not fit would not fit the next time either.
            m_needsWhole = m_needsWhole || update.from_revision() <= m_declarations->revision().value;
            return missing();
        }
        m_declarations = std::make_shared<const Declarations>(std::move(*next));
    }
    m_version = update.version();
    m_needsWhole = false;
    m_needsWholeRoutes = false;
    m_gap = false;
    m_routes = std::move(routes);
    m_rollouts.assign(update.rollouts().begin(), update.rollouts().end());
    m_moves.assign(update.moves().begin(), update.moves().end());
    m_cells.clear();
    for (const v1::CellAssignment &cell : update.cells()) {
        v1::CellAssignment &held = m_cells[cell.cell()];
        held = cell;
        // A process that restarted within its lease does not know what the one before it had granted: it waits for a new epoch.
        if (cell.vm() == m_options.vm.value && cell.incarnation() != m_options.incarnation) {
            held.clear_vm();
        }
    }
    return Taken::Applied;
}

namespace
{

/// All that goes with every update: small beside the declarations.
v1::ConfigUpdate emptyUpdate(const StateMachine &state, std::uint64_t routesVersion)
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
        *update.mutable_routes() = state.routeHistory().since(routesVersion);
    }
    for (const auto &[service, rollout] : state.rollouts()) {
        *update.add_rollouts() = rollout;
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
        return makeWholeConfigUpdate(state);
    }
    const std::vector<v1::HistoryEntry> changes = state.historyAfter(start);
    if (changes.size() != missed) {
        return makeWholeConfigUpdate(state);
    }
    v1::ConfigUpdate update = emptyUpdate(state, routesVersion);
    update.set_from_revision(start.value);
    update.mutable_changes()->Add(changes.begin(), changes.end());
    return update;
}

v1::ConfigUpdate makeWholeConfigUpdate(const StateMachine &state)
{
    v1::ConfigUpdate update = emptyUpdate(state, 0);
    *update.mutable_whole() = toWire(state.declarations());
    return update;
}

}

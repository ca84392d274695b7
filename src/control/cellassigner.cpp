#include "control/cellassigner.h"

#include <algorithm>
#include <tuple>

namespace cumindyke
{

namespace
{

std::map<std::string, DataCentreName> declaredCells(const Declarations &declarations)
{
    std::map<std::string, DataCentreName> cells;
    for (const auto &[name, upstream] : declarations.upstreams()) {
        cells.emplace(upstream.service.value + "/" + upstream.dataCentre.value, upstream.dataCentre);
    }
    return cells;
}

/// What the decision counts while it assigns several cells at once.
class Candidates
{
public:
    Candidates(const StateMachine &state, const Distribution &distribution, TimePoint now)
    {
        for (const VmStatus &vm : distribution.statuses(now)) {
            m_all.emplace(vm.vm.value, vm);
        }
        for (const auto &[name, cell] : state.cells()) {
            ++m_held[cell.vm()];
        }
    }

    const VmStatus *find(const std::string &vm) const
    {
        const auto found = m_all.find(vm);
        return found == m_all.end() ? nullptr : &found->second;
    }

    bool any() const
    {
        return std::ranges::any_of(m_all, [](const auto &entry) { return entry.second.live && !entry.second.draining; });
    }

    /// A live VM: of the cell's data centre before others, then the one with the fewest cells; or null.
    const VmStatus *choose(const DataCentreName &dataCentre)
    {
        const VmStatus *best = nullptr;
        for (const auto &[name, vm] : m_all) {
            if (!vm.live || vm.draining) {
                continue;
            }
            if (!best || cost(vm, dataCentre) < cost(*best, dataCentre)) {
                best = &vm;
            }
        }
        if (best) {
            ++m_held[best->vm.value];
        }
        return best;
    }

private:
    std::tuple<bool, int> cost(const VmStatus &vm, const DataCentreName &dataCentre) const
    {
        const auto held = m_held.find(vm.vm.value);
        return {vm.dataCentre != dataCentre, held == m_held.end() ? 0 : held->second};
    }

    std::map<std::string, VmStatus> m_all;
    std::map<std::string, int> m_held;
};

v1::CellAssignment assignment(const std::string &cell, std::uint64_t lastEpoch, const VmStatus *vm)
{
    v1::CellAssignment next;
    next.set_cell(cell);
    next.set_epoch(lastEpoch + 1);
    if (vm) {
        next.set_vm(vm->vm.value);
        next.set_incarnation(vm->incarnation);
    }
    return next;
}

/// The VM that held the cell until nobody did may still act on it, until it has the newest version or has lapsed.
bool mayStillBeHeld(const v1::CellAssignment &cell, const Distribution &distribution, TimePoint now)
{
    const VmName before{cell.before()};
    return !before.value.empty() && !distribution.hasInForce(before, cell.version()) && distribution.mayHoldLease(before, now);
}

}

std::vector<v1::CellAssignment> nextCellAssignments(const StateMachine &state, const Distribution &distribution, TimePoint now)
{
    std::vector<v1::CellAssignment> next;
    Candidates candidates(state, distribution, now);
    for (const auto &[name, dataCentre] : declaredCells(state.declarations())) {
        const auto known = state.cells().find(name);
        const v1::CellAssignment held = known == state.cells().end() ? v1::CellAssignment() : known->second;
        const VmStatus *holder = candidates.find(held.vm());
        if (!held.vm().empty()) {
            const bool restarted = holder && holder->live && holder->incarnation != held.incarnation();
            if (restarted) {
                next.push_back(assignment(name, held.epoch(), holder));
            } else if (holder && holder->live && holder->draining && candidates.any()) {
                next.push_back(assignment(name, held.epoch(), nullptr));
            } else if (!distribution.mayHoldLease(VmName{held.vm()}, now)) {
                if (const VmStatus *chosen = candidates.choose(dataCentre)) {
                    next.push_back(assignment(name, held.epoch(), chosen));
                }
            }
            continue;
        }
        if (mayStillBeHeld(held, distribution, now)) {
            continue;
        }
        if (const VmStatus *chosen = candidates.choose(dataCentre)) {
            next.push_back(assignment(name, held.epoch(), chosen));
        }
    }
    return next;
}

}

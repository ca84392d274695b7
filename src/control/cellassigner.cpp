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

/// The VMs and how many cells each holds, updated while several cells are assigned at once.
class Candidates
{
public:
    Candidates(const StateMachine &state, const Distribution &distribution, TimePoint now)
    {
        for (const VmStatus &vm : distribution.statuses(now)) {
            m_vms.emplace(vm.vm.value, vm);
        }
        for (const auto &[name, cell] : state.cells()) {
            ++m_cellsPerVm[cell.vm()];
        }
    }

    const VmStatus *find(const std::string &vm) const
    {
        const auto found = m_vms.find(vm);
        return found == m_vms.end() ? nullptr : &found->second;
    }

    bool anyAvailable() const
    {
        return std::ranges::any_of(m_vms, [](const auto &entry) { return entry.second.live && !entry.second.draining; });
    }

    /// Returns the live VM for a cell: one of the cell's data centre before others, then the one with the fewest cells; null if there is none.
    const VmStatus *choose(const DataCentreName &dataCentre)
    {
        const VmStatus *best = nullptr;
        for (const auto &[name, vm] : m_vms) {
            if (!vm.live || vm.draining) {
                continue;
            }
            if (!best || cost(vm, dataCentre) < cost(*best, dataCentre)) {
                best = &vm;
            }
        }
        if (best) {
            ++m_cellsPerVm[best->vm.value];
        }
        return best;
    }

private:
    std::tuple<bool, int> cost(const VmStatus &vm, const DataCentreName &dataCentre) const
    {
        const auto count = m_cellsPerVm.find(vm.vm.value);
        return {vm.dataCentre != dataCentre, count == m_cellsPerVm.end() ? 0 : count->second};
    }

    std::map<std::string, VmStatus> m_vms;
    std::map<std::string, int> m_cellsPerVm;
};

v1::CellAssignment makeAssignment(const std::string &cell, std::uint64_t lastEpoch, const VmStatus *vm)
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

/// Returns whether the former holder may still schedule the cell: it neither has the version in force that took the cell from it, nor has certainly
/// lapsed.
bool mayStillBeHeld(const v1::CellAssignment &cell, const Distribution &distribution, TimePoint now)
{
    const VmName formerHolder{cell.before()};
    return !formerHolder.value.empty() && !distribution.hasInForce(formerHolder, cell.version()) && distribution.mayHoldLease(formerHolder, now);
}

}

std::vector<v1::CellAssignment> nextCellAssignments(const StateMachine &state, const Distribution &distribution, TimePoint now)
{
    std::vector<v1::CellAssignment> assignments;
    Candidates candidates(state, distribution, now);
    for (const auto &[name, dataCentre] : declaredCells(state.declarations())) {
        const auto known = state.cells().find(name);
        const v1::CellAssignment current = known == state.cells().end() ? v1::CellAssignment() : known->second;
        const VmStatus *holder = candidates.find(current.vm());
        if (!current.vm().empty()) {
            const bool restarted = holder && holder->live && holder->incarnation != current.incarnation();
            if (restarted) {
                assignments.push_back(makeAssignment(name, current.epoch(), holder));
            } else if (holder && holder->live && holder->draining && candidates.anyAvailable()) {
                assignments.push_back(makeAssignment(name, current.epoch(), nullptr));
            } else if (!distribution.mayHoldLease(VmName{current.vm()}, now)) {
                if (const VmStatus *chosen = candidates.choose(dataCentre)) {
                    assignments.push_back(makeAssignment(name, current.epoch(), chosen));
                }
            }
            continue;
        }
        if (mayStillBeHeld(current, distribution, now)) {
            continue;
        }
        if (const VmStatus *chosen = candidates.choose(dataCentre)) {
            assignments.push_back(makeAssignment(name, current.epoch(), chosen));
        }
    }
    return assignments;
}

}

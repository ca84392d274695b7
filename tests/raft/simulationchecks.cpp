#include "raft/simulationchecks.h"

namespace cumindyke::raft::test
{

void SimulationChecks::recordLeader(const VmName &vm, const Core &core)
{
    if (core.role() != Core::Role::Leader) {
        return;
    }
    const auto [known, isNew] = m_leaders.emplace(core.term(), vm);
    if (known->second != vm) {
        throw CheckFailed("two leaders in term " + std::to_string(core.term()) + ": " + known->second.value + " and " + vm.value);
    }
}

void SimulationChecks::checkState(Index index, std::uint64_t sum)
{
    if (m_sums.emplace(index, sum).first->second != sum) {
        throw CheckFailed("replicas differ at index " + std::to_string(index));
    }
}

void SimulationChecks::recordApplied(const v1::LogEntry &entry, std::uint64_t sum)
{
    checkState(entry.index(), sum);
    m_commands.emplace(entry.index(), entry.command());
}

std::size_t SimulationChecks::recordInvoked(const std::string &command, TimePoint now)
{
    m_appends.push_back(ClientAppend{.command = command, .invoked = now, .acknowledged = {}});
    return m_appends.size() - 1;
}

void SimulationChecks::recordAcknowledged(std::size_t append, TimePoint now)
{
    m_appends[append].acknowledged = now;
}

void SimulationChecks::recordRead(Index index, TimePoint now)
{
    m_reads.push_back(ClientRead{.at = now, .index = index});
}

std::size_t SimulationChecks::checkAll() const
{
    return checkHistory(m_commands, m_appends, m_reads);
}

}

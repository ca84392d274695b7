#pragma once

#include "raft/core.h"
#include "raft/history.h"

#include <map>
#include <string>
#include <vector>

namespace cumindyke::raft::test
{

/// Checks on the replicas and clients of a simulated history. Throws CheckFailed.
class SimulationChecks
{
public:
    /// Records a leader and checks that no term has two leaders.
    void recordLeader(const VmName &vm, const Core &core);
    /// Checks that every replica that applied up to an index has the same state there.
    void checkState(Index index, std::uint64_t sum);
    void recordApplied(const v1::LogEntry &entry, std::uint64_t sum);

    /// Records a client's command; returns the number to pass to recordAcknowledged().
    std::size_t recordInvoked(const std::string &command, TimePoint now);
    void recordAcknowledged(std::size_t append, TimePoint now);
    void recordRead(Index index, TimePoint now);
    std::size_t appends() const
    {
        return m_appends.size();
    }
    bool isLastAcknowledged() const
    {
        return !m_appends.empty() && m_appends.back().acknowledged.has_value();
    }
    std::size_t reads() const
    {
        return m_reads.size();
    }
    std::size_t leaders() const
    {
        return m_leaders.size();
    }
    /// Checks that the whole history is linearizable; returns the number of acknowledged appends.
    std::size_t checkAll() const;

private:
    std::map<Term, VmName> m_leaders;
    std::map<Index, std::uint64_t> m_sums;
    std::map<Index, std::string> m_commands;
    std::vector<ClientAppend> m_appends;
    std::vector<ClientRead> m_reads;
};

}

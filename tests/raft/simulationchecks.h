#pragma once

#include "raft/core.h"
#include "raft/history.h"

#include <map>
#include <string>
#include <vector>

namespace cumindyke::raft::test
{

/// What replicas and clients of a simulated history must agree on. Throws CheckFailed.
class SimulationChecks
{
public:
    /// No term has two leaders.
    void leads(const VmName &vm, const Core &core);
    /// Every replica that applied up to an index holds the same state there.
    void holds(Index index, std::uint64_t sum);
    void applied(const v1::LogEntry &entry, std::uint64_t sum);

    /// A client's command; the number names it when it is acknowledged.
    std::size_t invoked(const std::string &command, TimePoint now);
    void acknowledged(std::size_t append, TimePoint now);
    void read(Index index, TimePoint now);
    std::size_t appends() const
    {
        return m_appends.size();
    }
    bool lastIsAcknowledged() const
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
    /// The whole history is linearizable; returns how many appends were acknowledged.
    std::size_t checkAll() const;

private:
    std::map<Term, VmName> m_leaders;
    std::map<Index, std::uint64_t> m_sums;
    std::map<Index, std::string> m_commands;
    std::vector<ClientAppend> m_appends;
    std::vector<ClientRead> m_reads;
};

}

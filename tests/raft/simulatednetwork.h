#pragma once

#include "common/types.h"
#include "raft.pb.h"

#include <cstdint>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// The network of a simulated history.
namespace cumindyke::raft::test
{

/// Source of all random values of a history, seeded by its seed.
class SeededRandom
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_generator(seed)
    {
    }

    std::uint64_t below(std::uint64_t limit)
    {
        return m_generator() % limit;
    }
    bool chance(std::uint64_t permille)
    {
        return below(1000) < permille;
    }
    std::mt19937_64 &generator()
    {
        return m_generator;
    }

private:
    std::mt19937_64 m_generator;
};

/// Delays, duplicates, reorders and loses messages, and drops those between partitioned VMs.
class SimulatedNetwork
{
public:
    explicit SimulatedNetwork(SeededRandom &random)
        : m_random(random)
    {
    }

    void post(const v1::RaftMessage &message, TimePoint now);
    /// Returns the next message that has arrived. Messages between VMs that are partitioned by then are dropped.
    std::optional<v1::RaftMessage> nextArrived(TimePoint now);

    bool isBlocked(const VmName &from, const VmName &to) const
    {
        return m_blocked.contains({from.value, to.value});
    }
    void isolate(const VmName &vm, const std::vector<VmName> &others, bool in, bool out);
    /// Splits the network: each VM is randomly assigned to one of two sides.
    void partition(const std::vector<VmName> &vms);
    void endPartitions()
    {
        m_blocked.clear();
    }
    /// Chooses new random loss rates and delays, and sometimes ends all partitions.
    void changeConditions();
    void setFaulty(bool faulty);
    bool isSlow() const;

private:
    static constexpr std::uint64_t FastMaxDelay = 4'000;

    struct InFlight
    {
        TimePoint arrivesAt;
        std::uint64_t sequence;
        v1::RaftMessage message;

        bool operator>(const InFlight &other) const
        {
            return std::tie(arrivesAt, sequence) > std::tie(other.arrivesAt, other.sequence);
        }
    };

    SeededRandom &m_random;
    bool m_faulty = false;
    std::uint64_t m_lossPermille = 5;
    /// Maximum delay of most messages, in microseconds.
    std::uint64_t m_maxDelay = FastMaxDelay;
    std::priority_queue<InFlight, std::vector<InFlight>, std::greater<>> m_inFlight;
    std::uint64_t m_sequence = 0;
    std::set<std::pair<std::string, std::string>> m_blocked;
};

}

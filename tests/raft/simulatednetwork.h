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

/// All that a history draws, from its seed.
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
    bool chance(std::uint64_t inThousand)
    {
        return below(1000) < inThousand;
    }
    std::mt19937_64 &generator()
    {
        return m_generator;
    }

private:
    std::mt19937_64 m_generator;
};

/// Carries messages late, twice, out of order or not at all, and not between VMs that are cut off from each other.
class SimulatedNetwork
{
public:
    explicit SimulatedNetwork(SeededRandom &random)
        : m_random(random)
    {
    }

    void post(const v1::RaftMessage &message, TimePoint now);
    /// The next message that has arrived; one between VMs that are cut off by then is lost.
    std::optional<v1::RaftMessage> arrived(TimePoint now);

    bool isBlocked(const VmName &from, const VmName &to) const
    {
        return m_blocked.contains({from.value, to.value});
    }
    void cutOff(const VmName &vm, const std::vector<VmName> &others, bool in, bool out);
    /// Each VM is on one of two sides, drawn by lot.
    void split(const std::vector<VmName> &vms);
    void join()
    {
        m_blocked.clear();
    }
    /// Losses and delays, drawn anew.
    void turn();
    void setFaulty(bool faulty);
    bool isSlow() const;

private:
    static constexpr std::uint64_t FastDelay = 4'000;

    struct InFlight
    {
        TimePoint at;
        std::uint64_t sequence;
        v1::RaftMessage message;

        bool operator>(const InFlight &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    SeededRandom &m_random;
    bool m_faulty = false;
    std::uint64_t m_lossInThousand = 5;
    /// Microseconds.
    std::uint64_t m_delay = FastDelay;
    std::priority_queue<InFlight, std::vector<InFlight>, std::greater<>> m_inFlight;
    std::uint64_t m_sequence = 0;
    std::set<std::pair<std::string, std::string>> m_blocked;
};

}

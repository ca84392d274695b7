#pragma once

#include "raft/repair.h"
#include "raft/replica.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Histories of the replicated log in virtual time: all faults come from one seed, so a seed that fails fails again.
namespace cumindyke::raft::test
{

/// A disk that keeps what was synced. A crash during a sync keeps a random first part of the write, as a torn write does.
class SimulatedDisk
{
public:
    Recovered content;
    bool crashInNextSync = false;
    std::mt19937_64 *random = nullptr;

    Result<Done> persist(const Writes &writes);
    Result<Done> saveSnapshot(const SnapshotPointer &snapshot, Index keepAfter);

private:
    std::size_t kept(std::size_t count);
    void install(const Writes &writes);
    void append(const EntryPointer &entry);
};

/// What one replica applied, as a running checksum over (index, term, command).
struct SimulatedState
{
    Index index = 0;
    std::uint64_t sum = 0;
    std::function<void(const v1::LogEntry &, std::uint64_t sum)> applied;
    std::function<void(Index, std::uint64_t sum)> installed;

    void install(const Snapshot &snapshot);
    void apply(const v1::LogEntry &entry);
    std::string snapshot() const;
};

struct SimulatedTransport
{
    std::function<void(v1::RaftMessage &&)> deliver;

    void send(v1::RaftMessage message) const
    {
        deliver(std::move(message));
    }
};

/// Faults that are planted to see that the checks find them.
enum class Planted {
    Nothing,
    ForgetVote, ///< a restart loses the vote, and the promise to vote for nobody while a leader may live
    ForgetPromise, ///< a restart ends the promise to vote for nobody while a leader may live
    WipeKeepsVoting, ///< a replica with a new data folder votes as if it were the old one
};

struct SimulationResult
{
    /// Empty: every check held.
    std::string fault;
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t leaders = 0;
    std::size_t membershipChanges = 0;
    std::size_t installs = 0;
};

/// Which faults a history is made of.
enum class Faults {
    Usual,
    /// Besides, most replicas restart at the same moment, often while the one that is spared is cut off and may still lead.
    CommonRestarts,
};

/// Runs one history: faults for half a minute, then a healed network, then the checks.
template<typename Order = SyncThenPromise>
SimulationResult simulate(std::uint64_t seed, Planted planted = Planted::Nothing, Faults faults = Faults::Usual);

extern template SimulationResult simulate<SyncThenPromise>(std::uint64_t seed, Planted planted, Faults faults);

/// The planted fault of acknowledging before the sync.
struct PromiseThenSync
{
    static constexpr bool PromiseBeforeSync = true;
};
extern template SimulationResult simulate<PromiseThenSync>(std::uint64_t seed, Planted planted, Faults faults);

}

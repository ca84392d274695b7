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

/// Histories of the replicated log in virtual time. All faults derive from one seed, so a failing seed is reproducible.
namespace cumindyke::raft::test
{

/// A disk that keeps synced data. A crash during a sync keeps a random prefix of the write, as a torn write does.
class SimulatedDisk
{
public:
    Recovered content;
    bool crashInNextSync = false;
    std::mt19937_64 *random = nullptr;

    Result<Done> persist(const Writes &writes);
    Result<Done> saveSnapshot(const SnapshotPointer &snapshot, Index keepAfter);

private:
    std::size_t keptCount(std::size_t count);
    void install(const Writes &writes);
    void append(const EntryPointer &entry);
};

/// State machine whose state is a running checksum over (index, term, command) of the applied entries.
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

/// Deliberate faults that the checks must detect.
enum class InjectedFault {
    None,
    VoteLost, ///< a restart loses the vote and the promise to withhold votes while a leader may be alive
    PromiseLost, ///< a restart ends the promise to withhold votes while a leader may be alive
    WipedReplicaVotes, ///< a replica with a new data folder may vote, as the old one could
};

struct SimulationResult
{
    /// First check that failed; empty if all checks passed.
    std::string failedCheck;
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t leaders = 0;
    std::size_t membershipChanges = 0;
    std::size_t installs = 0;
};

/// The kinds of faults in a history.
enum class FaultProfile {
    Usual,
    /// In addition, most replicas restart at the same moment, often while the one that doesn't is partitioned and may still lead.
    SimultaneousRestarts,
};

/// Runs one history: half a minute of faults, then a healed network, then the checks.
template<typename Order = SyncThenSend>
SimulationResult simulate(std::uint64_t seed, InjectedFault injectedFault = InjectedFault::None, FaultProfile faultProfile = FaultProfile::Usual);

extern template SimulationResult simulate<SyncThenSend>(std::uint64_t seed, InjectedFault injectedFault, FaultProfile faultProfile);

/// Injected fault: acknowledges before the sync.
struct SendThenSync
{
    static constexpr bool SendBeforeSync = true;
};
extern template SimulationResult simulate<SendThenSync>(std::uint64_t seed, InjectedFault injectedFault, FaultProfile faultProfile);

}

#pragma once

#include "common/result.h"
#include "common/types.h"

#include "raft.pb.h"

#include <memory>
#include <optional>
#include <vector>

/// The replicated log: Raft as published (D. Ongaro, "Consensus: Bridging Theory and Practice", Stanford 2014).
namespace cumindyke::raft
{

/// Position in the log, starting at 1; 0 is the position before the first entry.
using Index = std::uint64_t;
/// Election number.
using Term = std::uint64_t;
/// Term and index of the last entry of a log, or of a part of it. Of two logs, the one with the greater position is more up to date.
struct LogPosition
{
    Term term = 0;
    Index index = 0;

    auto operator<=>(const LogPosition &) const = default;
};
using EntryPointer = std::shared_ptr<const v1::LogEntry>;

/// The vote of a replica. If it were lost, the replica could vote twice in one term.
struct Vote
{
    Term term = 0;
    /// Empty if no vote was granted in this term.
    VmName votedFor;

    auto operator<=>(const Vote &) const = default;
};

/// The applied state up to and including an index.
struct Snapshot
{
    Index index = 0;
    Term term = 0;
    v1::Membership membership;
    std::string state;
};
using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// Identity of the data folder, created when the folder is new.
struct Identity
{
    std::uint64_t incarnation = 0;
    /// Whether the replica may vote. A replica whose folder was lost and created anew may not, since the votes made from the old folder are
    /// unknown.
    bool admitted = false;

    auto operator<=>(const Identity &) const = default;
};

/// Writes that must be durable before Effects::messagesAfterSync are sent, in the order of the members.
struct Writes
{
    std::optional<Identity> identity;
    std::optional<Vote> vote;
    /// A snapshot received from the leader.
    SnapshotPointer snapshot;
    /// The log contradicts the snapshot and restarts empty after it.
    bool resetLog = false;
    /// Consecutive entries; they replace the log from the first one's index on.
    std::vector<EntryPointer> entries;

    bool empty() const
    {
        return !identity && !vote && !snapshot && entries.empty();
    }
};

/// Content of the storage at the start of the process.
struct Recovered
{
    Identity identity;
    Vote vote;
    /// Never null; a snapshot with index 0 holds the initial membership.
    SnapshotPointer snapshot;
    /// Index and term of the entry before the first one in entries.
    Index baseIndex = 0;
    Term baseTerm = 0;
    std::vector<EntryPointer> entries;
};

/// Durable storage of one replica. After StorageFull the same call may be repeated: what was durable before it still is. After any other error the replica
/// stops, since the content of the disk is unknown.
template<typename S>
concept Storage = requires(S storage, const Writes &writes, const SnapshotPointer &snapshot, Index keepAfter)
{
    // Returns when everything is synced.
    {
        storage.persist(writes)
        } -> std::same_as<Result<Done>>;
    // Saves a snapshot of this replica's state, then removes entries up to keepAfter (some may stay).
    {
        storage.saveSnapshot(snapshot, keepAfter)
        } -> std::same_as<Result<Done>>;
};

/// Sends messages to other replicas. Messages may be lost, duplicated, delayed or reordered, but never corrupted.
template<typename T>
concept Transport = requires(T transport, v1::RaftMessage message)
{
    transport.send(std::move(message));
};

}

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

/// Position in the log, from 1; 0 is "before the first entry".
using Index = std::uint64_t;
/// Counts elections.
using Term = std::uint64_t;
using EntryPointer = std::shared_ptr<const v1::LogEntry>;

/// What a replica has promised in elections; lost, it could vote twice in one term.
struct Vote
{
    Term term = 0;
    /// Empty: nobody yet.
    VmName votedFor;

    auto operator<=>(const Vote &) const = default;
};

/// The state after applying the log up to an index.
struct Snapshot
{
    Index index = 0;
    Term term = 0;
    v1::Membership membership;
    std::string state;
};
using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// The data folder's identity: made once, when the folder is new.
struct Identity
{
    std::uint64_t incarnation = 0;
    /// The replica may vote. A folder that was lost and made anew may not: what the old one promised is forgotten.
    bool admitted = false;

    auto operator<=>(const Identity &) const = default;
};

/// What must be durable before the promises that come with it are sent, in the order of the members.
struct Writes
{
    std::optional<Identity> identity;
    std::optional<Vote> vote;
    /// A snapshot got from the leader.
    SnapshotPointer snapshot;
    /// The log held something else than what the snapshot covers: it starts anew after the snapshot.
    bool resetLog = false;
    /// Consecutive; what the log holds from the first one's index on is replaced.
    std::vector<EntryPointer> entries;

    bool empty() const
    {
        return !identity && !vote && !snapshot && entries.empty();
    }
};

/// What storage held when the process started.
struct Recovered
{
    Identity identity;
    Vote vote;
    /// Never null; index 0 holds the first members.
    SnapshotPointer snapshot;
    /// The entry before the first one.
    Index baseIndex = 0;
    Term baseTerm = 0;
    std::vector<EntryPointer> entries;
};

/// Durable storage of one replica. After an error the replica stops: what is on the disk is no longer known.
template<typename S>
concept Storage = requires(S storage, const Writes &writes, const SnapshotPointer &snapshot, Index keepAfter)
{
    // Returns when all of it is synced.
    {
        storage.persist(writes)
        } -> std::same_as<Result<Done>>;
    // Saves a snapshot taken here, then drops entries up to keepAfter (some may stay).
    {
        storage.saveSnapshot(snapshot, keepAfter)
        } -> std::same_as<Result<Done>>;
};

/// Sends messages to other replicas: lost, repeated, late or reordered as may be, never damaged.
template<typename T>
concept Transport = requires(T transport, v1::RaftMessage message)
{
    transport.send(std::move(message));
};

}

#pragma once

#include "raft/core.h"

#include <algorithm>

namespace cumindyke::raft
{

/// The state machine that committed commands are applied to.
template<typename S>
concept AppliedState = requires(S state, const Snapshot &snapshot, const v1::LogEntry &entry)
{
    state.install(snapshot);
    // Called for every committed entry in order. Entries without a command open a term or change the membership.
    state.apply(entry);
    {
        state.snapshot()
        } -> std::same_as<std::string>;
};

struct SnapshotPolicy
{
    /// Maximum number of entries applied between two snapshots.
    Index intervalEntries = 4096;
    /// Number of entries kept before the snapshot, so that a follower that is slightly behind needs no snapshot.
    Index keptEntries = 1024;
    /// Bytes of commands applied between two snapshots, if reached before intervalEntries. Never less than the size of the last snapshot,
    /// so that snapshots cost no more than the commands they replace.
    std::size_t intervalBytes = 8 << 20;
    /// Maximum bytes of commands kept before the snapshot.
    std::size_t maxKeptBytes = 4 << 20;
};

/// Sends votes and acknowledgements only after the writes that they depend on are synced.
struct SyncThenSend
{
    static constexpr bool SendBeforeSync = false;
};

/// Connects a core with its storage, transport and state machine. Not thread-safe. step(), tick() and propose() on the core have no outside
/// effect until flush(), so that many messages share one sync.
template<Storage S, Transport T, AppliedState A, typename Order = SyncThenSend>
class Replica
{
public:
    Replica(CoreOptions options, const Recovered &recovered, std::uint64_t seed, TimePoint now, SnapshotPolicy policy, S &storage, T &transport, A &state)
        : m_core(std::move(options), recovered, seed, now)
        , m_policy(policy)
        , m_storage(storage)
        , m_transport(transport)
        , m_state(state)
        , m_appliedIndex(recovered.snapshot->index)
    {
        if (m_appliedIndex > 0) {
            m_state.install(*recovered.snapshot);
        }
    }

    Core &core()
    {
        return m_core;
    }
    const Core &core() const
    {
        return m_core;
    }
    Index appliedIndex() const
    {
        return m_appliedIndex;
    }
    /// Returns whether the applied state can serve linearizable reads now.
    bool isReadable(TimePoint now) const
    {
        return m_appliedIndex == m_core.commitIndex() && m_core.holdsLease(now);
    }

    /// Carries out the core's effects. After StorageFull nothing more is sent or applied until a later call succeeds, so that the other replicas take this
    /// one for silent and elect another leader. After any other error the content of the disk is unknown: stop the process.
    Result<Done> flush(TimePoint now)
    {
        if (!m_heldEffects) {
            m_core.replicate(now);
        }
        for (Effects effects = nextEffects(); !effects.empty(); effects = nextEffects()) {
            sendAll(effects.messages);
            if constexpr (Order::SendBeforeSync) {
                sendAll(effects.messagesAfterSync);
            }
            if (!effects.writes.empty()) {
                if (Result<Done> written = m_storage.persist(effects.writes); !ok(written)) {
                    m_heldEffects = std::move(effects);
                    return written;
                }
            }
            m_core.onSynced(now);
            sendAll(effects.messagesAfterSync);
            applyAll(effects);
            if (isSnapshotDue() && now >= m_nextSnapshotAt) {
                if (Result<Done> saved = takeSnapshot(now); !ok(saved)) {
                    return saved;
                }
            }
        }
        return Done{};
    }
    /// Whether a write waits for space on the disk.
    bool isStalled() const
    {
        return m_heldEffects.has_value();
    }

private:
    static constexpr Duration SnapshotRetryDelay = std::chrono::seconds(1);

    Effects nextEffects()
    {
        return m_heldEffects ? *std::exchange(m_heldEffects, {}) : m_core.takeEffects();
    }

    void sendAll(std::vector<v1::RaftMessage> &messages)
    {
        for (v1::RaftMessage &message : messages) {
            m_transport.send(std::move(message));
        }
        messages.clear();
    }

    void applyAll(const Effects &effects)
    {
        if (effects.installedSnapshot) {
            m_state.install(*effects.installedSnapshot);
            m_appliedIndex = effects.installedSnapshot->index;
            m_bytesSinceSnapshot = 0;
        }
        for (const EntryPointer &entry : effects.committedEntries) {
            m_state.apply(*entry);
            m_bytesSinceSnapshot += entry->command().size();
            m_appliedIndex = entry->index();
        }
    }

    bool isSnapshotDue() const
    {
        const Snapshot &last = *m_core.snapshot();
        return m_appliedIndex >= last.index + m_policy.intervalEntries
            || (m_appliedIndex > last.index && m_bytesSinceSnapshot >= std::max(m_policy.intervalBytes, last.state.size()));
    }

    /// Returns the last index that may be discarded.
    Index keepAfter() const
    {
        const Index oldest = std::max(m_core.log().baseIndex(), m_appliedIndex > m_policy.keptEntries ? m_appliedIndex - m_policy.keptEntries : 0);
        std::size_t bytes = 0;
        Index index = m_appliedIndex;
        for (; index > oldest && bytes < m_policy.maxKeptBytes; --index) {
            bytes += m_core.log().at(index)->command().size();
        }
        return index;
    }

    /// A snapshot that finds no space is postponed: the log is complete without it.
    Result<Done> takeSnapshot(TimePoint now)
    {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->index = m_appliedIndex;
        snapshot->term = *m_core.log().termAt(m_appliedIndex);
        snapshot->membership = m_core.membershipAt(m_appliedIndex);
        snapshot->state = m_state.snapshot();
        const Index lastDropped = keepAfter();
        if (Result<Done> saved = m_storage.saveSnapshot(snapshot, lastDropped); !ok(saved)) {
            m_nextSnapshotAt = now + SnapshotRetryDelay;
            return errorOf(saved).kind == ErrorKind::StorageFull ? Result<Done>(Done{}) : saved;
        }
        m_core.compact(snapshot, lastDropped);
        m_bytesSinceSnapshot = 0;
        return Done{};
    }

    Core m_core;
    const SnapshotPolicy m_policy;
    S &m_storage;
    T &m_transport;
    A &m_state;
    Index m_appliedIndex;
    /// Bytes of commands applied since the last snapshot.
    std::size_t m_bytesSinceSnapshot = 0;
    /// Effects whose writes found no space on the disk.
    std::optional<Effects> m_heldEffects;
    TimePoint m_nextSnapshotAt{};
};

}

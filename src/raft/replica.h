#pragma once

#include "raft/core.h"

#include <algorithm>

namespace cumindyke::raft
{

/// The state that the log's commands are applied to.
template<typename S>
concept AppliedState = requires(S state, const Snapshot &snapshot, const v1::LogEntry &entry)
{
    state.install(snapshot);
    // Every committed entry in order; entries without a command open a term or change the members.
    state.apply(entry);
    {
        state.snapshot()
        } -> std::same_as<std::string>;
};

struct SnapshotPolicy
{
    /// Entries applied between two snapshots.
    Index every = 4096;
    /// Entries kept before the snapshot, so that a follower a little behind needs no snapshot.
    Index keep = 1024;
    /// Bytes of commands applied between two snapshots, if that is sooner; no fewer than the last snapshot has, so that snapshots cost no more than
    /// what they replace.
    std::size_t everyBytes = 8 << 20;
    /// Bytes of commands kept before the snapshot at most.
    std::size_t keepBytes = 4 << 20;
};

/// Promises leave only after what they promise is synced.
struct SyncThenPromise
{
    static constexpr bool PromiseBeforeSync = false;
};

/// A core with its storage, transport and state. Not thread-safe; nothing happens between step(), tick() or propose() and flush(),
/// so that many messages share one sync.
template<Storage S, Transport T, AppliedState A, typename Order = SyncThenPromise>
class Replica
{
public:
    Replica(CoreOptions options, const Recovered &recovered, std::uint64_t seed, TimePoint now, SnapshotPolicy policy, S &storage, T &transport, A &state)
        : m_core(std::move(options), recovered, seed, now)
        , m_policy(policy)
        , m_storage(storage)
        , m_transport(transport)
        , m_state(state)
        , m_applied(recovered.snapshot->index)
    {
        if (m_applied > 0) {
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
    Index applied() const
    {
        return m_applied;
    }
    /// The applied state answers linearizable reads at this moment.
    bool readable(TimePoint now) const
    {
        return m_applied == m_core.commit() && m_core.leaseHeld(now);
    }

    /// Does what the core asks for. After an error the disk's content is unknown: promise nothing more, stop the process.
    Result<Done> flush(TimePoint now)
    {
        m_core.replicate(now);
        for (Effects effects = m_core.takeEffects(); !effects.empty(); effects = m_core.takeEffects()) {
            sendAll(effects.messages);
            if constexpr (Order::PromiseBeforeSync) {
                sendAll(effects.promises);
            }
            if (!effects.writes.empty()) {
                if (Result<Done> written = m_storage.persist(effects.writes); !ok(written)) {
                    return written;
                }
            }
            m_core.synced(now);
            sendAll(effects.promises);
            applyAll(effects);
            if (snapshotDue()) {
                if (Result<Done> saved = takeSnapshot(); !ok(saved)) {
                    return saved;
                }
            }
        }
        return Done{};
    }

private:
    void sendAll(std::vector<v1::RaftMessage> &messages)
    {
        for (v1::RaftMessage &message : messages) {
            m_transport.send(std::move(message));
        }
        messages.clear();
    }

    void applyAll(const Effects &effects)
    {
        if (effects.installed) {
            m_state.install(*effects.installed);
            m_applied = effects.installed->index;
            m_bytesSinceSnapshot = 0;
        }
        for (const EntryPointer &entry : effects.committed) {
            m_state.apply(*entry);
            m_bytesSinceSnapshot += entry->command().size();
            m_applied = entry->index();
        }
    }

    bool snapshotDue() const
    {
        const Snapshot &last = *m_core.snapshot();
        return m_applied >= last.index + m_policy.every || (m_applied > last.index && m_bytesSinceSnapshot >= std::max(m_policy.everyBytes, last.state.size()));
    }

    /// The last entry that need not be kept.
    Index keepAfter() const
    {
        const Index oldest = std::max(m_core.log().base(), m_applied > m_policy.keep ? m_applied - m_policy.keep : 0);
        std::size_t bytes = 0;
        Index index = m_applied;
        for (; index > oldest && bytes < m_policy.keepBytes; --index) {
            bytes += m_core.log().at(index)->command().size();
        }
        return index;
    }

    Result<Done> takeSnapshot()
    {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->index = m_applied;
        snapshot->term = *m_core.log().term(m_applied);
        snapshot->membership = m_core.membershipAt(m_applied);
        snapshot->state = m_state.snapshot();
        const Index dropped = keepAfter();
        if (Result<Done> saved = m_storage.saveSnapshot(snapshot, dropped); !ok(saved)) {
            return saved;
        }
        m_core.compact(snapshot, dropped);
        m_bytesSinceSnapshot = 0;
        return Done{};
    }

    Core m_core;
    const SnapshotPolicy m_policy;
    S &m_storage;
    T &m_transport;
    A &m_state;
    Index m_applied;
    /// Of commands that were applied.
    std::size_t m_bytesSinceSnapshot = 0;
};

}

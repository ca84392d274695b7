#pragma once

#include "raft/repair.h"
#include "raft/replica.h"

#include "peer.pb.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>

namespace cumindyke::raft
{

struct ReplicatedLogOptions
{
    VmName vm;
    std::string dataFolder;
    /// The initial voters, the same on every VM; used only while the data folder is new. A VM that has a disk but isn't listed offers
    /// itself as a replacement.
    std::vector<VmName> initialVoters;
    /// Applies to a new data folder: false if the cluster was formed long ago, so that this VM waits to be admitted.
    bool formCluster = true;
    /// Number of voters to grow to while VMs with disks offer themselves; 0: the number of initialVoters.
    std::size_t wantedVoters = 0;
    /// Returns the VM assumed to lead while this VM isn't a member. Offers go only there, so that their number grows with the number of VMs
    /// and not with the number of pairs.
    std::function<VmName()> leaderHint;
    std::function<void(const VmName &to, v1::Envelope envelope)> send;
    /// Covers several heartbeats and the longest sync of a slow disk. A shorter timeout would cause an election whenever a VM is slow.
    Duration electionTimeout = std::chrono::milliseconds(500);
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    /// A voter that has sent no reply for this long is replaced if another VM with a disk offers itself.
    Duration replacementTimeout = std::chrono::seconds(30);
    SnapshotPolicy snapshots;
};

/// The replicated log of one VM, stored on its disk. Not thread-safe: a single task calls it and receives its signals in the same thread.
///
/// step(), tick() and propose() only queue work; flush() syncs, sends and applies, so that many messages share one sync.
class ReplicatedLog
{
public:
    /// Recovers the log from the data folder. Error: Storage.
    static Result<std::unique_ptr<ReplicatedLog>> open(ReplicatedLogOptions options);
    ~ReplicatedLog();
    ReplicatedLog(const ReplicatedLog &) = delete;
    ReplicatedLog &operator=(const ReplicatedLog &) = delete;

    /// Starts the replica. Call after the signals are connected and before any of the functions below. Emits snapshotInstalled() if there
    /// is a snapshot.
    void start(TimePoint now);
    /// Handles a message from another VM.
    void step(const v1::RaftMessage &message, TimePoint now);
    /// Call about every 50 ms.
    void tick(TimePoint now);
    /// Proposes a command and returns its index; empty if this VM isn't the leader. Once committed, the command is passed to applied() with
    /// this index and the current term. If applied() reports another term for the index, the command is lost.
    std::optional<Index> propose(std::string command, TimePoint now);
    /// Call after each batch of calls to the functions above, when flushRequested() was emitted.
    void flush(TimePoint now);

    bool isLeader() const;
    std::optional<VmName> leader() const;
    Term term() const;
    Index appliedIndex() const;
    /// Returns whether the applied state can serve linearizable reads now: this VM leads, holds its lease and has applied all committed
    /// entries.
    bool hasReadableState(TimePoint now) const;
    /// Returns the membership of the applied state: a change becomes visible when it is committed, and so survives the loss of this VM.
    v1::Membership membership() const;
    /// Returns the position in the log up to which the applied state reaches.
    LogPosition appliedPosition() const;
    /// Returns the newest membership in the log, committed or not, and the position of the log's last entry: whom to ask for the leader.
    v1::Membership newestMembership() const;
    LogPosition lastPosition() const;
    /// Proposes a membership change and returns its index. Errors: Unavailable, Invalid.
    Result<Index> changeMembership(const v1::Membership &next, TimePoint now);
    /// Transfers leadership to the voter with the longest log, for a graceful shutdown. Returns false when there is no such voter.
    bool transferLeadership(TimePoint now);

    /// Emitted for every committed entry, in order, once per process; the command is empty for the log's own entries.
    sigc::signal<void, Index, Term, const std::string &> &applied();
    sigc::signal<void, const std::optional<VmName> &> &leaderChanged();
    /// Emitted to get the applied state as bytes.
    sigc::signal<std::string> &snapshotRequested();
    /// Emitted with the bytes of a snapshot that replaces the applied state.
    sigc::signal<void, const std::string &> &snapshotInstalled();
    sigc::signal<void> &flushRequested();
    /// Emitted when the disk has failed: its content is unknown, and no further vote or acknowledgement is sent. Stop the process.
    sigc::signal<void, const Error &> &failed();

private:
    explicit ReplicatedLog(ReplicatedLogOptions options);
    struct Private;
    std::unique_ptr<Private> d;
};

}

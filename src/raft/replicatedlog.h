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
    /// The first voters, the same on every VM; used only while the data folder is new. A VM with a disk that isn't among them offers itself
    /// as a replacement.
    std::vector<VmName> initialVoters;
    /// With a new data folder: false when the first voters have long met, so that this VM waits to be admitted.
    bool formCluster = true;
    /// Voters that the log grows to while VMs with disks offer themselves; 0: as many as initialVoters.
    std::size_t wantedVoters = 0;
    /// Whom this VM takes for the leader when it isn't a member: its offers go there only, so that their number grows with the VMs, not
    /// with the pairs of them.
    std::function<VmName()> leaderHint;
    std::function<void(const VmName &to, v1::Envelope envelope)> send;
    /// Several heartbeats, and a slow disk's longest sync; a shorter one elects leaders anew whenever a VM is slow.
    Duration electionTimeout = std::chrono::milliseconds(500);
    Duration heartbeat = std::chrono::milliseconds(100);
    /// A voter that was silent for so long is replaced, if another VM with a disk offers itself.
    Duration replaceAfter = std::chrono::seconds(30);
    SnapshotPolicy snapshots;
};

/// The replicated log of one VM, on its disk. Not thread-safe: one task calls it, and gets its signals in the same thread.
///
/// step(), tick() and propose() only take note; flush() syncs, sends and applies, so that many messages share one sync.
class ReplicatedLog
{
public:
    /// Recovers the log from the data folder. Error: Storage.
    static Result<std::unique_ptr<ReplicatedLog>> open(ReplicatedLogOptions options);
    ~ReplicatedLog();
    ReplicatedLog(const ReplicatedLog &) = delete;
    ReplicatedLog &operator=(const ReplicatedLog &) = delete;

    /// Call once the signals are connected, and before anything below. Emits snapshotInstalled(), if there is a snapshot.
    void start(TimePoint now);
    void step(const v1::RaftMessage &message, TimePoint now);
    /// Call about every 50 ms.
    void tick(TimePoint now);
    /// None: this VM isn't the leader. Otherwise the command comes back by applied() with this index and the present term; if something else
    /// comes with the index, or another term, the command is lost.
    std::optional<Index> propose(std::string command, TimePoint now);
    /// Call after each batch of the above, when flushWanted() was emitted.
    void flush(TimePoint now);

    bool isLeader() const;
    std::optional<VmName> leader() const;
    Term term() const;
    Index appliedIndex() const;
    /// The applied state answers linearizable reads now: this VM leads, holds its lease and has applied what is committed.
    bool hasReadableState(TimePoint now) const;
    /// Of the applied state: a change shows when it is committed, and so survives the loss of this VM.
    v1::Membership membership() const;
    /// Errors: Unavailable, Invalid.
    Result<Index> changeMembership(const v1::Membership &next, TimePoint now);
    /// Hands leadership to the voter with the longest log, for a graceful shutdown. False when there is nobody to hand it to.
    bool transferLeadership(TimePoint now);

    /// Every committed entry, in order, once in the life of the process; the command is empty for the log's own entries.
    sigc::signal<void, Index, Term, const std::string &> &applied();
    sigc::signal<void, const std::optional<VmName> &> &leaderChanged();
    /// Asks for the applied state as bytes.
    sigc::signal<std::string> &snapshotWanted();
    /// Replaces the applied state.
    sigc::signal<void, const std::string &> &snapshotInstalled();
    sigc::signal<void> &flushWanted();
    /// The disk failed: what it holds is no longer known, and nothing more will be promised. Stop the process.
    sigc::signal<void, const Error &> &failed();

private:
    explicit ReplicatedLog(ReplicatedLogOptions options);
    struct Private;
    std::unique_ptr<Private> d;
};

}

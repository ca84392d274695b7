#pragma once

#include "common/eventloop.h"
#include "common/mailbox.h"
#include "control/follower.h"
#include "control/forwarder.h"
#include "control/heartbeatschedule.h"
#include "control/leadership.h"
#include "control/moveleader.h"
#include "control/orderrunner.h"
#include "control/pendingproposals.h"
#include "control/statemachine.h"
#include "control/watchers.h"
#include "peer/peerdatagrams.h"
#include "raft/replicatedlog.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <thread>
#include <variant>

namespace cumindyke
{

/// What a VM must have in force: handed to the other tasks whenever it changes, and whenever the lease is renewed.
struct Configuration
{
    std::shared_ptr<const Declarations> declarations;
    std::vector<v1::Move> moves;
    /// Null before the first was published.
    std::shared_ptr<const v1::RouteTable> routes;
    std::vector<v1::Rollout> rollouts;
    /// What the leader last made of all entry VMs' tallies; null before the first lease.
    std::shared_ptr<const v1::FleetTally> fleet;
    /// Which VM schedules each cell, by the cell's name.
    std::map<std::string, v1::CellAssignment> cells;
    /// New work is admitted only before this time.
    TimePoint admitUntil;
    /// Cells assigned to this VM are scheduled only before this time: the configuration lease.
    TimePoint leaseUntil;
};

/// A command for the log, and what to do with its answer (called in the control task's thread).
struct Proposal
{
    v1::Command command;
    std::function<void(const Result<v1::ProposeReply> &)> answer;
};

/// A question that only the leader can answer; answered in the control task's thread.
struct Question
{
    v1::LeaderQuestion question;
    std::function<void(const Result<v1::LeaderAnswer> &)> answer;
};

/// A look at the state of this VM's replica (empty on a VM without one), made in the control task's thread.
struct StateQuery
{
    std::function<void(const StateMachine &)> look;
};

/// A look at what this VM has in force, made in the control task's thread.
struct FollowerQuery
{
    std::function<void(const Follower &)> look;
};

/// An operator's watch from a revision on.
struct Watch
{
    Revision after;
    std::shared_ptr<EventSink> sink;
};

/// A subscription to configurations: called in the control task's thread at once and at each change.
struct Subscription
{
    std::function<void(const Configuration &)> changed;
};

/// What this VM's entry counts: goes to the leader with the next beat.
struct TallyUpdate
{
    v1::EntryTally tally;
};

/// Other VMs to ask for the leader, after a change of the settings.
struct CandidatesUpdate
{
    std::vector<VmName> replicas;
};

/// A graceful shutdown has begun: cells go to other VMs.
struct DrainStarted
{
};

/// The VM's process is about to end: "left" is called once another replica leads, or after the time an election takes.
struct DepartureRequest
{
    std::function<void()> left;
};

using ControlMessage = std::
    variant<Proposal, Question, StateQuery, FollowerQuery, Watch, Subscription, TallyUpdate, CandidatesUpdate, DrainStarted, DepartureRequest, PeerMessage>;

struct ControlOptions
{
    VmName vm;
    DataCentreName dataCentre;
    /// Empty on a VM without a disk: it holds no replica.
    std::string dataFolder;
    /// The first replicas of the log; used only when the data folder is new.
    std::vector<VmName> replicas;
    /// The other VMs.
    std::map<VmName, Address> peers;
    /// This VM, as operators see it.
    Address address;
    /// On a new data folder, whether the replicas may form the first cluster. Otherwise this VM waits until a leader admits it.
    bool formCluster = true;
    /// Voters that the log grows to while VMs with disks offer themselves; 0: as many as replicas names.
    std::size_t wantedVoters = 0;
    /// How long work is admitted under the last configuration after the lease; docs/notes/quorum-loss.md.
    Duration keepAdmitting = Duration::zero();
    /// A published configuration is confirmed when it is certain to be in force everywhere this much later.
    Duration confirmWithin = std::chrono::seconds(2);
    /// A replica of the log that was silent for so long is replaced by another VM with a disk.
    Duration replaceReplicaAfter = std::chrono::seconds(30);
    /// Where beats and leases come in and, on other VMs, go to; without it they go by "send".
    std::optional<Address> datagrams;
    std::optional<DistributionMetrics> metrics;
    PeerSender send;
};

/// Owns the log and the state machine, and this VM's part in configuration leases. Other tasks talk to it by post().
class ControlTask
{
public:
    /// Recovers the state from the data folder. Errors: Storage; Unavailable, when the address for datagrams can't be bound.
    static Result<std::unique_ptr<ControlTask>> open(ControlOptions options);
    ~ControlTask();
    ControlTask(const ControlTask &) = delete;
    ControlTask &operator=(const ControlTask &) = delete;

    /// Starts the task's thread, and with it the beats. Call when peers can reach this VM: the answer to the first beat may be a configuration that
    /// another VM brings at once, and what it can't deliver is sent again a second later at the soonest.
    void start();
    /// Ends the task's thread; what is posted from then on is not handled. Safe to call again.
    void stop();
    /// Safe from any thread.
    void post(ControlMessage message);

private:
    /// What an accepted command's answer waits for.
    enum class AnswerWhen {
        Decided,
        InForce, ///< every VM has it, or has stopped admitting work
        Confirmed, ///< it is certain that every VM will have it, or have stopped, in time
    };
    static AnswerWhen answerWhen(const v1::Command &command);

    explicit ControlTask(ControlOptions options);
    std::optional<Error> openDatagrams();
    std::optional<Error> recover();
    void tick();
    void take(PeerMessage &message);
    /// For beats and their answers.
    void sendSignal(const VmName &to, v1::Envelope envelope);

    // The log.
    void connectLog();
    void applyEntry(raft::Index index, raft::Term term, const std::string &bytes);
    void flushLog();
    void followLeadership(TimePoint now);

    void handle(Proposal &proposal);
    void handle(Question &question);
    void handle(StateQuery &query);
    void handle(FollowerQuery &query);
    void handle(Watch &watch);
    void handle(Subscription &subscription);
    void handle(TallyUpdate &notice);
    void handle(CandidatesUpdate &notice);
    void handle(DrainStarted &notice);
    void handle(DepartureRequest &notice);
    void handle(PeerMessage &message);

    // The leader's side.
    bool hasQuorum(TimePoint now) const;
    void propose(v1::Command command, const std::function<void(const Result<v1::ProposeReply> &)> &answer);
    void proposeHere(const VmName &from, const v1::ProposeRequest &request);
    void answerQuestion(const VmName &from, const v1::ProposeRequest &request, TimePoint now);
    void answerDecided(const VmName &from, std::uint64_t call, AnswerWhen when, const v1::ProposeReply &reply);
    void replyWhenConfirmed(const VmName &from, std::uint64_t call, const v1::ProposeReply &reply);
    void replyWhenInForce(const VmName &from, std::uint64_t call, const v1::ProposeReply &reply);
    void sendReply(const VmName &to, std::uint64_t call, v1::ProposeReply reply);
    std::optional<v1::LeaderAnswer> answerHere(const v1::LeaderQuestion &question, TimePoint now) const;
    std::string hintFor(const VmName &asking) const;
    void takeBeat(const VmName &from, const v1::ConfigHeartbeat &heartbeat);
    void sendHint(const VmName &to, const v1::ConfigHeartbeat &heartbeat, const std::string &leader);
    void answerWaitingBeats(TimePoint now);

    // The VM's side.
    void decideMoves(TimePoint now);
    void proposeRolloutVerdicts();
    void leaveIfReplaced(TimePoint now);
    void takeOutcomes(const VmName &from, v1::Envelope &envelope);
    void askForLease(TimePoint now);
    void sendHeartbeat(TimePoint now);
    void sendDue(TimePoint now);
    void handleUpdate(const v1::ConfigUpdate &update);
    void takeLease(const VmName &from, const v1::ConfigLease &lease);
    void configurationIsNew();
    void feedWatchers();
    Configuration configuration() const;

    const ControlOptions m_options;
    EventLoop m_loop;
    Mailbox<ControlMessage> m_mailbox;
    /// Null where beats and leases go by calls.
    std::unique_ptr<PeerDatagrams> m_datagrams;
    Timer m_tick;
    StateMachine m_state;
    /// Null on a VM without a data folder.
    std::unique_ptr<raft::ReplicatedLog> m_log;
    Timer m_flush;
    PendingProposals m_pendingProposals;
    Leadership m_leadership;
    /// The last beat of each VM that this one could neither grant a lease nor name a leader: answered when there is one.
    std::map<VmName, v1::ConfigHeartbeat> m_unansweredBeats;
    MoveLeader m_moveLeader;
    TimePoint m_nextLook{};
    raft::Term m_ledTerm = 0;
    OrderRunner m_orderRunner;
    LeaderSearch m_leaderSearch;
    Forwarder m_forwarder;
    Follower m_follower;
    Watchers m_watchers;
    bool m_watchersAsk = false;
    HeartbeatSchedule m_heartbeatSchedule;
    /// A hint was followed since another candidate was asked, or since the last lease.
    bool m_hintFollowed = false;
    bool m_hadLease = false;
    std::function<void()> m_left;
    TimePoint m_leaveBy{};
    std::optional<v1::EntryTally> m_tally;
    std::shared_ptr<const v1::FleetTally> m_fleet;
    sigc::signal<void, const Configuration &> m_configurationChanged;
    std::thread m_thread;
};

}

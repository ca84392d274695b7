#pragma once

#include "common/eventloop.h"
#include "common/mailbox.h"
#include "control/follower.h"
#include "control/forwarder.h"
#include "control/leaderdiscovery.h"
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
#include <set>
#include <thread>
#include <variant>

namespace cumindyke
{

/// The configuration that a VM must have in force. Passed to the other tasks whenever it changes and whenever the lease is renewed.
struct Configuration
{
    std::shared_ptr<const Declarations> declarations;
    std::vector<v1::Move> moves;
    /// Null before the first publication.
    std::shared_ptr<const v1::RouteTable> routes;
    std::vector<v1::Rollout> rollouts;
    /// The upstreams of these data centres get no new requests.
    std::set<DataCentreName> evacuated;
    /// The leader's latest aggregate of all entry VMs' tallies; null before the first lease.
    std::shared_ptr<const v1::FleetTally> fleet;
    /// Requests that may end the upstreams that run them; null before the first lease with a table.
    std::shared_ptr<const v1::SuspectTable> suspects;
    /// The assignment of each cell, by the cell's name.
    std::map<std::string, v1::CellAssignment> cells;
    /// New work is admitted only before this time.
    TimePoint admitUntil;
    /// End of the configuration lease: cells assigned to this VM are scheduled only before this time.
    TimePoint leaseUntil;
};

/// A command for the log and the callback for its answer, which is called in the control task's thread.
struct Proposal
{
    v1::Command command;
    std::function<void(const Result<v1::ProposeReply> &)> answer;
};

/// A question that only the leader can answer; the callback is called in the control task's thread.
struct Question
{
    v1::LeaderQuestion question;
    std::function<void(const Result<v1::LeaderAnswer> &)> answer;
};

/// An operator's order to evacuate a data centre, or to end its evacuation. The callback is called in the control task's thread, when every VM is certain
/// to obey within ControlOptions::evacuateWithin. Errors: NotFound; Unavailable, if the order could not be decided in time.
struct EvacuationRequest
{
    DataCentreName dataCentre;
    bool active = true;
    std::function<void(const Result<Done> &)> answer;
};

/// Reads the state of this VM's replica (empty on a VM without a replica) in the control task's thread.
struct StateQuery
{
    std::function<void(const StateMachine &)> visit;
};

/// Reads the configuration in force on this VM in the control task's thread.
struct FollowerQuery
{
    std::function<void(const Follower &)> visit;
};

/// An operator's watch of the changes after a revision.
struct Watch
{
    Revision after;
    std::shared_ptr<EventSink> sink;
};

/// A subscription to configurations; called in the control task's thread at once and at each change.
struct Subscription
{
    std::function<void(const Configuration &)> onChanged;
};

/// The counts of this VM's entry task, sent to the leader with the next heartbeat.
struct TallyUpdate
{
    v1::EntryTally tally;
};

/// The VMs to ask for the leader, after a change of the settings.
struct CandidatesUpdate
{
    std::vector<VmName> replicas;
};

/// A graceful shutdown has begun: the cells of this VM move to other VMs.
struct DrainStarted
{
};

/// The VM's process is about to exit: onLeft is called once another replica leads, or after a timeout that covers an election.
struct DepartureRequest
{
    std::function<void()> onLeft;
};

using ControlMessage = std::variant<Proposal,
                                    Question,
                                    EvacuationRequest,
                                    StateQuery,
                                    FollowerQuery,
                                    Watch,
                                    Subscription,
                                    TallyUpdate,
                                    CandidatesUpdate,
                                    DrainStarted,
                                    DepartureRequest,
                                    PeerMessage>;

struct ControlOptions
{
    VmName vm;
    DataCentreName dataCentre;
    /// Empty on a VM without a disk, which has no replica.
    std::string dataFolder;
    /// The first replicas of the log; used only if the data folder is new.
    std::vector<VmName> replicas;
    /// The other VMs.
    std::map<VmName, Address> peers;
    /// Address of this VM that operators see.
    Address address;
    /// Whether the replicas may form the first cluster if the data folder is new. Otherwise this VM waits until a leader admits it.
    bool formCluster = true;
    /// Number of voters to which the log grows while VMs with disks offer themselves; 0: the number of replicas.
    std::size_t wantedVoters = 0;
    /// How long work is admitted under the last configuration after the lease; docs/notes/quorum-loss.md.
    Duration keepAdmitting = Duration::zero();
    /// A published configuration is confirmed when it is certain to be in force on every VM this long after the confirmation.
    Duration confirmWithin = std::chrono::seconds(2);
    /// The same for an evacuation, or its end.
    Duration evacuateWithin = std::chrono::seconds(2);
    /// The data centres that operators may evacuate, besides this VM's.
    std::set<DataCentreName> dataCentres;
    /// A replica of the log that has not replied for this time is replaced by another VM with a disk.
    Duration replaceReplicaAfter = std::chrono::seconds(30);
    /// Address and port for heartbeats and leases by datagram, with the same port on the other VMs; if not set, they go by "send".
    std::optional<Address> datagrams;
    std::optional<DistributionMetrics> metrics;
    PeerSender send;
};

/// Owns the log and the state machine, and this VM's side of configuration leases. Other tasks communicate with it by post().
class ControlTask
{
public:
    /// Recovers the state from the data folder. Errors: Storage; Unavailable if the address for datagrams can't be bound.
    static Result<std::unique_ptr<ControlTask>> open(ControlOptions options);
    ~ControlTask();
    ControlTask(const ControlTask &) = delete;
    ControlTask &operator=(const ControlTask &) = delete;

    /// Starts the task's thread and the heartbeats. To be called when peers can reach this VM: the leader may answer the first heartbeat with a
    /// configuration that another VM relays at once, and an update that can't be delivered is sent again only after a second.
    void start();
    /// Ends the task's thread; messages posted afterwards are not handled. May be called more than once.
    void stop();
    /// May be called from any thread.
    void post(ControlMessage message);

private:
    /// When an accepted command is answered.
    enum class ReplyCondition {
        Decided,
        InForce, ///< every VM has its version in force or has stopped admitting work
        Confirmed, ///< it is certain that each VM will have it in force or stop admitting work in time
        Evacuated, ///< the same within the time for evacuations
    };
    static ReplyCondition replyConditionFor(const v1::Command &command);

    explicit ControlTask(ControlOptions options);
    std::optional<Error> openDatagrams();
    std::optional<Error> recover();
    void tick();
    void handlePeerMessage(PeerMessage &message);
    /// Sends an envelope by datagram if that is possible for it, otherwise by a call.
    void sendPreferringDatagrams(const VmName &to, v1::Envelope envelope);

    // The log.
    void connectLog();
    void applyEntry(raft::Index index, raft::Term term, const std::string &bytes);
    void flushLog();
    void updateLeadership(TimePoint now);

    void handle(Proposal &proposal);
    void handle(Question &question);
    void handle(EvacuationRequest &request);
    void submitEvacuation(EvacuationRequest request, std::uint64_t baseVersion, TimePoint receivedAt);
    void handle(StateQuery &query);
    void handle(FollowerQuery &query);
    void handle(Watch &watch);
    void handle(Subscription &subscription);
    void handle(TallyUpdate &update);
    void handle(CandidatesUpdate &update);
    void handle(DrainStarted &message);
    void handle(DepartureRequest &request);
    void handle(PeerMessage &message);

    // The leader's side.
    bool hasQuorum(TimePoint now) const;
    void propose(v1::Command command, const std::function<void(const Result<v1::ProposeReply> &)> &answer);
    void handleProposeRequest(const VmName &from, const v1::ProposeRequest &request);
    void replyToQuestion(const VmName &from, const v1::ProposeRequest &request, TimePoint now);
    void replyOnCondition(const VmName &from, std::uint64_t call, ReplyCondition condition, const v1::ProposeReply &reply);
    void replyWhenConfirmed(const VmName &from, std::uint64_t call, const v1::ProposeReply &reply, Duration within);
    void replyWhenInForce(const VmName &from, std::uint64_t call, const v1::ProposeReply &reply);
    void sendReply(const VmName &to, std::uint64_t call, v1::ProposeReply reply);
    std::optional<v1::LeaderAnswer> makeAnswer(const v1::LeaderQuestion &question, TimePoint now) const;
    void handleHeartbeat(const VmName &from, const v1::ConfigHeartbeat &heartbeat);
    void answerDeferredHeartbeats();
    void announceLeader(TimePoint now);

    // The VM's side.
    void proposeVerdictsAndBurn(TimePoint now);
    void proposeRolloutVerdicts();
    void completeDepartureIfDue(TimePoint now);
    void handleOutcomeReport(const VmName &from, v1::Envelope &envelope);
    void sendHeartbeat(TimePoint now);
    void sendDueRequests(TimePoint now);
    void handleUpdate(const v1::ConfigUpdate &update);
    void handleLease(const VmName &from, const v1::ConfigLease &lease);
    void onConfigurationChanged();
    void updateWatchers();
    Configuration configuration() const;

    const ControlOptions m_options;
    EventLoop m_loop;
    Mailbox<ControlMessage> m_mailbox;
    /// Null if heartbeats and leases go by calls.
    std::unique_ptr<PeerDatagrams> m_datagrams;
    Timer m_tickTimer;
    StateMachine m_state;
    /// Null on a VM without a data folder.
    std::unique_ptr<raft::ReplicatedLog> m_log;
    Timer m_flushTimer;
    PendingProposals m_pendingProposals;
    Leadership m_leadership;
    MoveLeader m_moveLeader;
    TimePoint m_nextVerdictsAt{};
    raft::Term m_leadingTerm = 0;
    OrderRunner m_orderRunner;
    LeaderDiscovery m_discovery;
    Forwarder m_forwarder;
    /// Makes the ids of evacuation orders unique.
    std::uint64_t m_nextEvacuationId;
    Follower m_follower;
    Watchers m_watchers;
    bool m_historyRequested = false;
    bool m_hadLease = false;
    std::function<void()> m_onLeft;
    TimePoint m_departureDeadline{};
    std::optional<v1::EntryTally> m_entryTally;
    std::shared_ptr<const v1::FleetTally> m_fleetTally;
    std::shared_ptr<const v1::SuspectTable> m_suspects;
    sigc::signal<void, const Configuration &> m_configurationChanged;
    std::thread m_thread;
};

}

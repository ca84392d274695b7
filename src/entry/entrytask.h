#pragma once

#include "common/eventloop.h"
#include "common/mailbox.h"
#include "common/metrics.h"
#include "control/controltask.h"
#include "entry/admission.h"
#include "entry/dispatcher.h"
#include "entry/historylog.h"
#include "entry/httpserver.h"
#include "entry/keyedrequests.h"
#include "entry/organisationlimits.h"
#include "entry/requeststore.h"
#include "entry/servicerate.h"
#include "entry/suspecttracker.h"
#include "entry/versiontraffic.h"
#include "relay/upstreampaths.h"
#include "report/requestendcounters.h"
#include "upstream/platformlist.h"
#include "upstream/streamcanceller.h"

#include <functional>
#include <memory>
#include <thread>
#include <variant>

namespace cumindyke
{

/// Starts a graceful shutdown: the task stops admitting requests, completes those queued and in flight, then calls drained in its thread.
struct DrainRequest
{
    std::function<void()> drained;
};

/// Query for the counts of ended requests. "answer" is called in the entry task's thread.
struct ReportQuery
{
    std::function<void(const v1::ReportReply &)> answer;
};

using EntryMessage = std::variant<Configuration, DrainRequest, ReportQuery, ClaimDecision, ClaimEndSaved, SuspectReply, PeerMessage>;

struct EntryOptions
{
    VmName vm;
    DataCentreName dataCentre;
    /// All VMs, including this one.
    std::set<VmName> vms;
    /// Listening address for callers and the load balancer.
    Address address;
    /// Maximum time for receiving one request from a caller.
    Duration requestReadLimit = std::chrono::seconds(30);
    /// Bound of the bytes of requests' bodies; 0: none.
    std::size_t bodyBudgetBytes = 0;
    /// Proposes a command to the control replicas, through the control task.
    std::function<void(Proposal)> propose;
    PeerSender send;
    /// File for the HistoryLog, for tests. Empty: none.
    std::string historyFile;
    /// File or "http://HOST:PORT/PATH" of the platform's list of VMs (see PlatformList). Empty: none.
    std::string platformList;
    /// Where this VM opens connections to upstreams for others; all VMs use the same port. None: nothing is relayed.
    std::optional<Address> relayAddress = {};
    /// IP addresses of the other VMs, which may be asked for connections.
    std::vector<std::string> relayHosts = {};
    /// Maps an upstream's address to the one that is connected to; none: the same.
    std::function<Address(const Address &)> mapAddress = {};
};

/// Owns the callers' connections and the lifecycle of every request, from its arrival to the last byte of its answer.
class EntryTask
{
public:
    /// Binds the listening address; connections are not served until start(). Error: Unavailable, when the address can't be bound.
    static Result<std::unique_ptr<EntryTask>> open(EntryOptions options, Metrics &metrics);
    /// Starts the task's thread, which serves callers and the load balancer. To be called once, after all other parts of the VM have started.
    void start();
    ~EntryTask();
    EntryTask(const EntryTask &) = delete;
    EntryTask &operator=(const EntryTask &) = delete;

    std::uint16_t port() const;
    /// Stops the task's thread; messages posted afterwards are ignored. May be called more than once.
    void stop();
    /// Enqueues a message for the task. Thread-safe.
    void post(EntryMessage message);

private:
    EntryTask(EntryOptions options, Metrics &metrics);
    std::optional<Error> openPaths();
    void handle(EntryMessage &&message);
    void handle(Configuration &&configuration);
    void handle(DrainRequest &&drain);
    void handle(const ReportQuery &query);
    void handle(const ClaimDecision &decision);
    void handle(const ClaimEndSaved &saved);
    void handle(SuspectReply &&reply);
    void handle(PeerMessage &&message);
    KeyedOptions keyedOptions();

    void onRequest(const std::shared_ptr<Exchange> &exchange);
    void admit(const std::shared_ptr<Exchange> &exchange);
    void sweep();
    void scheduleCellMessages(TimePoint now);
    void sendCellMessages();
    /// Refuses the request and returns true when it exceeds a limit, or when higher tiers need the capacity.
    bool refuseOverLimit(const CallerRequest &request, Exchange &exchange, TimePoint now);
    void refuse(const CallerRequest &request, Exchange &exchange, const Error &error, std::chrono::seconds retryAfter);
    std::chrono::seconds estimatedRetryAfter(const ServiceName &service, TimePoint now);
    void onLeavingVmsChanged(const LeavingVms &leaving);
    void enqueue(const RequestId &id);
    void onKeyedAnswer(const RequestId &id, const KeyedResult &result);
    void onAnswerHead(const RequestId &id, const UpstreamName &upstream, const AnswerHead &head);
    bool mayRun(const RequestId &id, ActiveRequest &active);
    bool onTrialAnswered(const RequestId &id, const std::variant<TrialId, SuspectRefusal> &answer);
    void refuseSuspect(const RequestId &id, const SuspectRefusal &refusal);
    void dispatch(const RequestId &id, const Slot &slot, const Upstream &upstream);
    void onAttemptEnded(const RequestId &id, const AttemptResult &result);
    void onAttemptNotRun(ActiveRequest &active, Duration pause);
    void onCallerDisconnected(const RequestId &id);
    void abandon(const RequestId &id, const Error &error);
    void abandonWithOutcome(const RequestId &id, const Error &error, RunOutcome outcome);
    void endWithError(const RequestId &id, const Error &error, RunOutcome outcome, std::chrono::seconds retryAfter);
    void finish(const RequestId &id, RequestEnd end);
    void cancelStream(const Address &upstream, const RequestId &id);
    void releaseSlot(ActiveRequest &active);
    void finishDrainIfIdle();
    void reportOutcomes();

    const EntryOptions m_options;
    Metrics &m_metrics;
    EventLoop m_loop;
    Mailbox<EntryMessage> m_mailbox;
    Timer m_sweepTimer;
    Timer m_reportTimer;
    /// Sends the pending messages to the cells' schedulers.
    Timer m_cellMessageTimer;
    TimePoint m_cellMessagesSentAt;
    bool m_cellMessagesScheduled = false;
    std::unique_ptr<HttpServer> m_httpServer;
    Admission m_admission;
    VersionTraffic m_versions;
    Dispatcher m_dispatcher;
    std::unique_ptr<UpstreamPaths> m_paths;
    AttemptCounters m_attemptCounters;
    StreamCanceller m_canceller;
    HistoryLog m_history;
    OrganisationLimits m_limits;
    std::map<ServiceName, ServiceRate> m_serviceRates;
    RequestStore m_requests;
    SuspectTracker m_suspects;
    KeyedRequests m_keyed;
    Timer m_keyedSweepTimer;
    std::unique_ptr<PlatformList> m_platformList;
    RequestEndCounters m_requestEnds;
    std::function<void()> m_onDrained;
    std::thread m_thread;
};

}

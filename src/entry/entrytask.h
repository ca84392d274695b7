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
#include "entry/versiontraffic.h"
#include "report/requestendcounters.h"
#include "upstream/platformlist.h"
#include "upstream/streamcanceller.h"

#include <functional>
#include <memory>
#include <thread>
#include <variant>

namespace cumindyke
{

/// Stop taking new requests, finish those waiting and in flight, then call drained (in the entry task's thread).
struct DrainRequest
{
    std::function<void()> drained;
};

/// Asks for the counts of ended requests (answered in the entry task's thread).
struct ReportQuery
{
    std::function<void(const v1::ReportReply &)> answer;
};

using EntryMessage = std::variant<Configuration, DrainRequest, ReportQuery, ClaimDecision, ClaimEndSaved, PeerMessage>;

struct EntryOptions
{
    VmName vm;
    DataCentreName dataCentre;
    /// All VMs, this one too.
    std::set<VmName> vms;
    /// Where callers and the balancer connect.
    Address address;
    /// The longest that a caller may take to send one request.
    Duration requestReadLimit = std::chrono::seconds(30);
    /// Proposes a command to the control replicas, through the control task.
    std::function<void(Proposal)> propose;
    PeerSender send;
    /// For tests: see HistoryLog. Empty: none.
    std::string historyFile;
    /// File or "http://HOST:PORT/PATH" of the platform's list of VMs: see PlatformList. Empty: none.
    std::string platformList;
};

/// Owns the callers' connections and every request's life from its arrival to the last byte of its answer.
class EntryTask
{
public:
    /// Binds the callers' address: connections wait until start(). Error: Unavailable, when it can't be bound.
    static Result<std::unique_ptr<EntryTask>> open(EntryOptions options, Metrics &metrics);
    /// Starts the task's thread, which answers callers and the balancer. Call once, when everything else of the VM is up.
    void start();
    ~EntryTask();
    EntryTask(const EntryTask &) = delete;
    EntryTask &operator=(const EntryTask &) = delete;

    std::uint16_t port() const;
    /// Ends the task's thread; what is posted from then on is not handled. Safe to call again.
    void stop();
    /// Safe from any thread.
    void post(EntryMessage message);

private:
    EntryTask(EntryOptions options, Metrics &metrics);
    void handle(EntryMessage &&message);
    void handle(Configuration &&configuration);
    void handle(DrainRequest &&drain);
    void handle(const ReportQuery &query);
    void handle(const ClaimDecision &decision);
    void handle(const ClaimEndSaved &saved);
    void handle(PeerMessage &&message);
    KeyedOptions keyedOptions();

    void arrived(const std::shared_ptr<Exchange> &exchange);
    void admit(const std::shared_ptr<Exchange> &exchange);
    void sweep();
    void tellSoon(TimePoint now);
    void tellSchedulers();
    bool refusedForRoom(const CallerRequest &request, Exchange &exchange, TimePoint now);
    void refuseAtArrival(const CallerRequest &request, Exchange &exchange, const Error &error, std::chrono::seconds retryAfter);
    std::chrono::seconds retryAfter(const ServiceName &service, TimePoint now);
    void platformListed(const LeavingVms &leaving);
    void enqueue(const RequestId &id);
    void answerKeyed(const RequestId &id, const KeyedResult &result);
    void dispatch(const RequestId &id, const Slot &slot, const Upstream &upstream);
    void runEnded(const RequestId &id, const RunResult &result);
    void tryElsewhere(ActiveRequest &active);
    void callerDisconnected(const RequestId &id);
    void giveUp(const RequestId &id, const Error &error);
    void giveUpAs(const RequestId &id, const Error &error, RunOutcome outcome);
    void finish(const RequestId &id, RequestEnd end);
    void releaseSlot(ActiveRequest &active);
    void finishDrainIfIdle();
    void reportOutcomes();

    const EntryOptions m_options;
    Metrics &m_metrics;
    EventLoop m_loop;
    Mailbox<EntryMessage> m_mailbox;
    Timer m_sweep;
    Timer m_report;
    /// Sends what changed to the schedulers of the cells.
    Timer m_tell;
    TimePoint m_lastTold;
    bool m_tellDue = false;
    std::unique_ptr<HttpServer> m_door;
    Admission m_admission;
    VersionTraffic m_versions;
    Dispatcher m_dispatcher;
    RunCounters m_runCounters;
    StreamCanceller m_canceller;
    HistoryLog m_history;
    OrganisationLimits m_limits;
    std::map<ServiceName, ServiceRate> m_rates;
    RequestStore m_requests;
    KeyedRequests m_keyed;
    Timer m_keyedSweep;
    std::unique_ptr<PlatformList> m_platformList;
    OutcomeTally m_tally;
    std::function<void()> m_drained;
    std::thread m_thread;
};

}

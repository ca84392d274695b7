#pragma once

#include "common/eventloop.h"
#include "common/mailbox.h"
#include "common/metrics.h"
#include "control/controltask.h"
#include "entry/httpserver.h"
#include "entry/suspecttracker.h"
#include "proxy/answertime.h"
#include "proxy/bufferbudget.h"
#include "proxy/placementhost.h"
#include "proxy/proxyrequest.h"
#include "proxy/requestparser.h"
#include "proxy/retrybudget.h"
#include "proxy/shutdowngrace.h"
#include "relay/upstreampaths.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <variant>

struct evhttp;

namespace cumindyke
{

struct ProxyOptions
{
    VmName vm;
    /// The local data centre and the others.
    UpstreamPoolOptions pool;
    /// Where callers connect.
    Address address;
    /// Where the load balancer queries readiness, and metrics are served.
    Address readinessAddress;
    std::string readinessPath;
    ProxyHeaders headers;
    InstanceListProtocol list;
    /// Time between two reads of the platform's list.
    Duration listInterval = std::chrono::seconds(1);
    /// Maximum time that a caller may take to send one request.
    Duration requestReadLimit = std::chrono::seconds(30);
    /// How long requests are still admitted after a graceful shutdown began: the balancer stops sending them after two failed readiness queries a
    /// second apart, and a request that arrives later on an open connection may not finish before the process is killed.
    Duration balancerDetectionTime = std::chrono::milliseconds(2800);
    /// How much longer the process runs to refuse late requests instead of resetting their connections.
    Duration refusalTime = std::chrono::milliseconds(700);
    /// Time from SIGTERM until the platform kills the process; none: it waits for all requests.
    std::optional<Duration> shutdownGrace = {};
    /// Address of the placement datagrams; all VMs use the same port. Without it each VM places its own requests.
    std::optional<Address> datagrams;
    /// Where connections are opened for VMs without a path to the upstreams; all VMs use the same port. Without it none is opened by or for this VM.
    std::optional<Address> relayAddress;
    /// Maps an upstream's address to the one that is connected to; none: the same. Tests cut a VM off from its upstreams with it.
    std::function<Address(const Address &)> mapAddress = {};
    /// Tokens (or requests) that organisations may be admitted beyond their limits over all VMs.
    std::uint64_t limitTolerance = 0;
    ProxyFeatures features = {};
    /// Bound of the bytes that were read and not passed on yet; 0: none.
    std::size_t bufferBudgetBytes = 0;
    /// Bound of the bytes of requests' bodies; 0: none.
    std::size_t bodyBudgetBytes = 0;
    std::function<void(v1::EntryTally)> sendTally;
    /// Proposes a command for the replicated log.
    std::function<void(Proposal)> propose;
};

/// Begins a graceful shutdown. "drained" is called from the task's thread when the last request has ended.
struct ProxyDrain
{
    std::function<void()> drained;
};

using ProxyMessage = std::variant<Configuration, ProxyDrain, SuspectReply>;

/// The reverse proxy of an entry VM: forwards callers' requests to upstreams and the answers back, unchanged. Owns all sockets that this needs; other
/// tasks use post().
class ProxyTask
{
public:
    /// Binds the addresses. Error: Unavailable.
    static Result<std::unique_ptr<ProxyTask>> open(ProxyOptions options, Metrics &metrics);
    ~ProxyTask();
    ProxyTask(const ProxyTask &) = delete;
    ProxyTask &operator=(const ProxyTask &) = delete;

    void start();
    void stop();
    void post(ProxyMessage message);

private:
    struct HeldRequest
    {
        std::shared_ptr<Exchange> exchange;
        TimePoint arrived;
    };
    /// An organisation over its limit: until when none of its requests can be admitted, and what callers are told meanwhile.
    struct ExhaustedLimit
    {
        TimePoint until;
        Duration retryAfter;
        std::string inputs;
    };
    struct VersionCount
    {
        std::uint64_t sent = 0;
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
        std::uint64_t headMs = 0;
        std::uint64_t heads = 0;
    };

    /// Until an upstream usually has a free slot again.
    static constexpr Duration RetryAfterRefusal = std::chrono::milliseconds(200);
    /// After this time without data, a stream that another upstream can resume is taken from its upstream.
    static constexpr Duration ResumeTimeout = std::chrono::milliseconds(1700);

    ProxyTask(ProxyOptions options, Metrics &metrics);
    std::optional<Error> bind();

    void handle(Configuration &configuration);
    void handle(ProxyDrain &drain);
    void setEvacuated(const std::set<DataCentreName> &evacuated);
    void handle(SuspectReply &reply)
    {
        m_suspects.handle(reply);
    }

    // Admission.
    void handleRequest(const std::shared_ptr<Exchange> &exchange);
    void admit(const std::shared_ptr<Exchange> &exchange, TimePoint arrived);
    void holdRequest(const std::shared_ptr<Exchange> &exchange, TimePoint now);
    void releaseHeldRequests();
    void refuseNotReady(Exchange &exchange);
    Refusal notReadyRefusal() const;
    bool mayAdmit(TimePoint now) const;
    void handleReadinessRequest(const std::shared_ptr<Exchange> &exchange);
    void refuse(Exchange &exchange, const RequestId &id, const Refusal &reason);
    std::optional<HeadRefusal> checkHead(const RequestHead &head, std::string_view bytes) const;

    // Placement.
    void requestPlacementOrRefuse(ProxyRequest &request, TimePoint now);
    void requestPlacement(ProxyRequest &request);
    void onGranted(const PlacementGranted &granted);
    bool mayRunAt(const ProxyRequest &request, const DataCentreName &dataCentre) const;
    bool isHeld(const UpstreamInstance &upstream) const;
    void returnGrant(ProxyRequest &request, const UpstreamInstance &upstream, TimePoint now);
    void onReturnsCounted(const ReturnCounts &counts);
    void onRefused(const PlacementRefused &refused);
    void onEjected(const PlacementServer::Ejection &ejection);
    void onSlotsLeft(const PeerWaiting::Report &report);
    void refuseOverLimit(ProxyRequest &request, const ExhaustedLimit &limit);

    // Attempts and their answers.
    void send(ProxyRequest &request, const UpstreamInstance &to, const std::string &inputs, TimePoint now);
    HeaderList headersFor(const ProxyRequest &request, const UpstreamInstance &to, TimePoint now) const;
    ProgressTimeouts timeoutsFor(const ProxyRequest &request, TimePoint now) const;
    void onAnswerHead(LocalRequestId localId, const AnswerHead &head);
    void onAnswerData(LocalRequestId localId, std::string_view bytes);
    bool handleBody(ProxyRequest &request, std::string_view bytes);
    void dropAnswer(ProxyRequest &request, const char *change);
    void onAnswerEnd(LocalRequestId localId);
    void recordFraming(ProxyRequest &request, BodyFraming framing);
    bool mayBeUnframed(const ProxyRequest &request) const;
    void watchProcess(ProxyRequest &request);
    void verifyUnframedEnd(ProxyRequest &request);
    void handleEndCheck(ProxyRequest &request, AnswerEndProof proof);
    void completeAnswer(ProxyRequest &request);
    void onCallFailed(LocalRequestId localId, CallFailure failure);
    void recordRequestLimit(const ProxyRequest &request, const AnswerHead &head);
    void recordSignals(const ProxyRequest &request, const AnswerHead &head);
    bool isAnswerToRequest(const ProxyRequest &request, const AnswerHead &head) const;
    bool isNotRun(const AnswerHead &head) const;
    void handleAttemptEnd(ProxyRequest &request, AttemptEnd end, v1::PlacementOutcome outcome);
    void handleLostAnswer(ProxyRequest &request);
    void checkUpstreamEnded(ProxyRequest &request, const std::function<void(bool hasEnded)> &then = {});
    bool mayRun(ProxyRequest &request);
    bool onTrialAnswered(LocalRequestId localId, const std::variant<TrialId, SuspectRefusal> &answer);
    void refuseSuspect(ProxyRequest &request, const SuspectRefusal &refusal);
    void retryOrFinish(ProxyRequest &request, AttemptEnd end, NextStep step);
    void releaseCall(ProxyRequest &request);
    void endCall(ProxyRequest &request, v1::PlacementOutcome outcome, const AnswerPace &pace = {});
    void recordEvents(ProxyRequest &request, TimePoint now);

    // Requests through another VM.
    bool mayUseRelay(const ProxyRequest &request) const;
    void onSent(LocalRequestId localId);
    void handleUnsent(ProxyRequest &request);
    void handleRelayFailure(ProxyRequest &request);
    void resend(ProxyRequest &request);
    void onPathLost();

    // Answers to callers.
    void forwardHead(ProxyRequest &request);
    void forwardBody(ProxyRequest &request, std::string_view bytes);
    void addAnswerHeaders(ProxyRequest &request);
    void forwardWholeAnswer(ProxyRequest &request);
    void replyRefusal(ProxyRequest &request, ErrorKind kind, const std::string &reason, Duration retryAfter, const std::string &inputs = {});
    void replyFailure(ProxyRequest &request, ErrorKind kind, const std::string &reason);
    void onCallerLeft(LocalRequestId localId);
    void onDeadlinePassed(LocalRequestId localId);
    void finish(ProxyRequest &request, const std::string &outcome, const std::string &reason, const std::string &inputs = {});
    void cleanUp();

    // The buffer budget.
    void countBuffers(HttpServer &door);
    void evictBuffers();
    void drop(const BufferEviction &eviction, ProxyRequest *request);
    void limitHeldAnswer(ProxyRequest &request);
    std::size_t maxUnreadBytes() const;
    void recordBufferedBytes();

    // Shutdown.
    Duration expectedTime(const ParsedRequest &request, TimePoint now) const;
    bool endsInGrace(const ProxyRequest &request, TimePoint now) const;
    void enforceGrace(TimePoint now);
    void endForShutdown(ProxyRequest &request);
    void finishDrainIfDone();

    void countAnswer(const ProxyRequest &request, bool good);
    void sendTally();
    ProxyRequest *find(LocalRequestId localId);

    const ProxyOptions m_options;
    EventLoop m_loop;
    Mailbox<ProxyMessage> m_mailbox;
    Metrics &m_metrics;
    /// Distinguishes this process's messages from those of its predecessor.
    const std::uint64_t m_incarnation;
    /// Null without a budget.
    std::unique_ptr<BufferBudget> m_buffers;
    Timer m_evictionTimer;
    std::unique_ptr<HttpServer> m_callerDoor;
    std::unique_ptr<HttpServer> m_readinessDoor;
    std::unique_ptr<PlacementHost> m_placement;
    std::unique_ptr<UpstreamPaths> m_paths;
    std::shared_ptr<const RouteIndex> m_routes;
    /// The upstreams of these data centres get no new requests.
    std::set<DataCentreName> m_evacuated;
    TimePoint m_admitUntil{};
    std::shared_ptr<const v1::FleetTally> m_fleet;
    /// Requests that arrived before the process had its first lease.
    std::map<std::uint64_t, HeldRequest> m_heldRequests;
    bool m_wasReady = false;
    Timer m_holdTimer;
    std::map<OrganisationName, ExhaustedLimit> m_exhaustedLimits;
    std::map<ServiceName, RetryBudget> m_retryBudgets;
    /// Requests by the ids of their placement requests.
    std::map<PlacementId, LocalRequestId> m_requestsByPlacement;
    std::map<std::pair<std::string, std::string>, VersionCount> m_versionCounts;
    std::map<LocalRequestId, std::unique_ptr<ProxyRequest>> m_requests;
    SuspectTracker m_suspects;
    std::uint64_t m_nextLocalId = 1;
    /// Ended requests. Their signals may still be running, so they are destroyed from the loop.
    std::vector<std::unique_ptr<ProxyRequest>> m_endedRequests;
    std::vector<std::shared_ptr<Exchange>> m_exchangesToAbort;
    /// Upstreams and routes that have answered: whether an answer had neither a length nor chunks. An upstream's first such answer on a route behind framed
    /// ones is broken off, since its process was not watched.
    std::map<std::pair<InstanceName, std::string>, bool> m_unframedAnswers;
    Timer m_cleanUpTimer;
    Timer m_drainTimer;
    Timer m_tallyTimer;
    std::optional<ProxyDrain> m_drain;
    TimePoint m_drainStartedAt{};
    /// None before the shutdown.
    std::optional<ShutdownGrace> m_grace;
    /// By route.
    std::map<std::string, AnswerTime> m_answerTimes;
    std::thread m_thread;
};

}

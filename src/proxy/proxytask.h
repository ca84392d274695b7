#pragma once

#include "common/eventloop.h"
#include "common/mailbox.h"
#include "common/metrics.h"
#include "control/controltask.h"
#include "entry/httpserver.h"
#include "proxy/placementhost.h"
#include "proxy/proxyrequest.h"
#include "proxy/requestparser.h"
#include "proxy/retrybudget.h"

#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <variant>

struct evhttp;

namespace cumindyke
{

struct ProxyOptions
{
    VmName vm;
    DataCentreName dataCentre;
    /// For callers.
    Address address;
    /// For the balancer, and for metrics.
    Address readinessAddress;
    std::string readinessPath;
    ProxyHeaders headers;
    InstanceListProtocol list;
    /// Between two readings of the platform's list.
    Duration listInterval = std::chrono::seconds(1);
    /// The longest that a caller may take to send one request.
    Duration requestReadLimit = std::chrono::seconds(30);
    /// After a graceful shutdown began, how long requests are still taken: the balancer has moved on after two missed questions a second apart,
    /// and what comes later on an open connection may not end before the process is killed.
    Duration balancerDetectionTime = std::chrono::milliseconds(2800);
    /// The process stays this much longer, to refuse what still comes instead of breaking it off.
    Duration refusalTime = std::chrono::milliseconds(700);
    /// Where VMs ask each other for places at upstreams: an address for datagrams, the same port on all. Without it each places its own.
    std::optional<Address> datagrams;
    /// What organisations may be admitted beyond their limits over all VMs, in the limits' units.
    std::uint64_t limitTolerance = 0;
    std::function<void(v1::EntryTally)> sendTally;
};

/// A graceful shutdown begins; drained is called from the task's thread when the last request has ended.
struct ProxyDrain
{
    std::function<void()> drained;
};

using ProxyMessage = std::variant<Configuration, ProxyDrain>;

/// Takes callers' requests, passes them on to upstreams and the answers back, unchanged. Owns all sockets of that; other tasks post().
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
    /// Of an organisation over its limit: until when nothing of it can pass, and what callers are told.
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

    ProxyTask(ProxyOptions options, Metrics &metrics);
    std::optional<Error> bind();

    void handle(Configuration &configuration);
    void handle(ProxyDrain &drain);

    // Admission.
    void handleRequest(const std::shared_ptr<Exchange> &exchange);
    void admit(const std::shared_ptr<Exchange> &exchange, TimePoint arrived);
    void holdRequest(const std::shared_ptr<Exchange> &exchange, TimePoint now);
    void releaseHeldRequests();
    void refuseNotReady(Exchange &exchange);
    bool mayAdmit(TimePoint now) const;
    void handleReadinessRequest(const std::shared_ptr<Exchange> &exchange);
    void refuse(Exchange &exchange, const RequestId &id, const Refusal &reason);

    // Placement.
    void requestPlacementOrRefuse(ProxyRequest &request, TimePoint now);
    void requestPlacement(ProxyRequest &request);
    void onGranted(const PlacementGranted &granted);
    void onRefused(const PlacementRefused &refused);
    void refuseOverLimit(ProxyRequest &request, const ExhaustedLimit &limit);

    // A sending and its answer.
    void send(ProxyRequest &request, const UpstreamInstance &to, const std::string &inputs, TimePoint now);
    HeaderList headersFor(const ProxyRequest &request, const UpstreamInstance &to, TimePoint now) const;
    ProgressTimeouts timeoutsFor(const ProxyRequest &request, TimePoint now) const;
    void onAnswerHead(LocalRequestId localId, const AnswerHead &head);
    void onAnswerData(LocalRequestId localId, std::string_view bytes);
    void onAnswerEnd(LocalRequestId localId);
    void onCallFailed(LocalRequestId localId, CallFailure failure);
    bool isAnswerToRequest(const ProxyRequest &request, const AnswerHead &head) const;
    bool isNotRun(const AnswerHead &head) const;
    void handleAttemptEnd(ProxyRequest &request, AttemptEnd end, v1::PlacementOutcome outcome);
    void retryOrFinish(ProxyRequest &request, AttemptEnd end, NextStep step);
    void endCall(ProxyRequest &request, v1::PlacementOutcome outcome, const AnswerPace &pace = {});
    void recordEvents(ProxyRequest &request, TimePoint now);

    // Answers to callers.
    void forwardHead(ProxyRequest &request);
    void addAnswerHeaders(ProxyRequest &request);
    void forwardWholeAnswer(ProxyRequest &request);
    void replyRefusal(ProxyRequest &request, ErrorKind kind, const std::string &reason, Duration retryAfter, const std::string &inputs = {});
    void replyFailure(ProxyRequest &request, ErrorKind kind, const std::string &reason);
    void onCallerLeft(LocalRequestId localId);
    void onDeadlinePassed(LocalRequestId localId);
    void finish(ProxyRequest &request, const std::string &outcome, const std::string &reason, const std::string &inputs = {});
    void cleanUp();
    void finishDrainIfDone();

    void countAnswer(const ProxyRequest &request, bool good);
    void sendTally();
    ProxyRequest *find(LocalRequestId localId);

    const ProxyOptions m_options;
    EventLoop m_loop;
    Mailbox<ProxyMessage> m_mailbox;
    Metrics &m_metrics;
    /// Tells this process's messages from those of the process before it.
    const std::uint64_t m_incarnation;
    std::unique_ptr<FrontDoor> m_callerDoor;
    std::unique_ptr<FrontDoor> m_readinessDoor;
    std::unique_ptr<PlacementHost> m_placement;
    std::shared_ptr<const RouteIndex> m_routes;
    std::map<std::string, v1::Rollout> m_rollouts;
    TimePoint m_admitUntil{};
    std::shared_ptr<const v1::FleetTally> m_fleet;
    /// Requests that came before the process had its first lease.
    std::map<std::uint64_t, HeldRequest> m_heldRequests;
    bool m_wasReady = false;
    Timer m_holdTimer;
    std::map<OrganisationName, ExhaustedLimit> m_exhaustedLimits;
    std::map<ServiceName, RetryBudget> m_retryBudgets;
    /// Requests by the places they wait for or have.
    std::map<PlacementId, LocalRequestId> m_requestsByPlacement;
    std::map<std::pair<std::string, std::string>, VersionCount> m_versionCounts;
    std::map<LocalRequestId, std::unique_ptr<ProxyRequest>> m_requests;
    std::uint64_t m_nextLocalId = 1;
    /// Ended requests: their signals may be under way, so they are destroyed from the loop.
    std::vector<std::unique_ptr<ProxyRequest>> m_endedRequests;
    std::vector<std::shared_ptr<Exchange>> m_exchangesToAbort;
    Timer m_cleanUpTimer;
    Timer m_drainTimer;
    Timer m_tallyTimer;
    std::optional<ProxyDrain> m_drain;
    TimePoint m_drainStartedAt{};
    std::thread m_thread;
};

}

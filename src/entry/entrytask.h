#pragma once

#include "common/eventloop.h"
#include "common/mailbox.h"
#include "common/metrics.h"
#include "control/controltask.h"
#include "entry/activerequest.h"
#include "entry/frontdoor.h"
#include "policy/leastoutstanding.h"
#include "policy/pendingqueue.h"
#include "report/outcometally.h"

#include <functional>
#include <map>
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

using EntryMessage = std::variant<Configuration, DrainRequest, ReportQuery, PeerMessage>;

struct EntryOptions
{
    VmName vm;
    DataCentreName dataCentre;
    /// Where callers and the balancer connect.
    Address address;
    /// Proposes a command to the control replicas, through the control task.
    std::function<void(Proposal)> propose;
    PeerSender send;
};

/// Owns the callers' connections and every request's life from its arrival to the last byte of its answer.
class EntryTask
{
public:
    /// Error: Unavailable, when the address can't be bound.
    static Result<std::unique_ptr<EntryTask>> start(EntryOptions options, Metrics &metrics);
    ~EntryTask();
    EntryTask(const EntryTask &) = delete;
    EntryTask &operator=(const EntryTask &) = delete;

    std::uint16_t port() const;
    /// Safe from any thread.
    void post(EntryMessage message);

private:
    EntryTask(EntryOptions options, Metrics &metrics);
    void handle(EntryMessage &&message);

    void arrived(const std::shared_ptr<Exchange> &exchange);
    void answerModels(Exchange &exchange);
    void answerReadiness(Exchange &exchange);
    void admit(const std::shared_ptr<Exchange> &exchange);
    std::optional<Error> refusalBeforeParsing(TimePoint now) const;

    void serveQueues();
    void serveQueue(const ServiceName &service, PendingQueue &queue);
    void expireWaiting();
    void dispatch(ActiveRequest &active, const Upstream &upstream);
    void callFinished(const RequestId &id);
    void callFailed(const RequestId &id, CallFailure failure);
    void callerLeft(const RequestId &id);
    void giveUp(const RequestId &id, const Error &error);
    void finish(const RequestId &id, RequestEnd end);
    void releaseSlot(ActiveRequest &active);
    void cleanUp();
    void finishDrainIfIdle();
    RequestId nextRequestId();

    const EntryOptions m_options;
    const std::string m_incarnation;
    Metrics &m_metrics;
    EventLoop m_loop;
    Mailbox<EntryMessage> m_mailbox;
    Timer m_sweep;
    Timer m_cleanUp;
    std::unique_ptr<FrontDoor> m_door;
    Configuration m_configuration;
    std::map<RequestId, std::unique_ptr<ActiveRequest>> m_active;
    /// Ended requests whose signals may still be under way; freed by the loop.
    std::vector<std::unique_ptr<ActiveRequest>> m_endedRequests;
    std::map<ServiceName, PendingQueue> m_queues;
    LeastOutstanding m_capacity;
    OutcomeTally m_tally;
    std::uint64_t m_requestCount = 0;
    std::function<void()> m_drained;
    bool m_draining = false;
    std::thread m_thread;
};

}

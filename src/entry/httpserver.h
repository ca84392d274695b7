#pragma once

#include "common/eventloop.h"
#include "common/metrics.h"
#include "common/result.h"
#include "entry/acceptgate.h"
#include "entry/bodyadmission.h"
#include "entry/callerbuffers.h"
#include "entry/exchange.h"

#include <sigc++/sigc++.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event_base;

namespace cumindyke
{

class CallerConnection;
class RequestGate;

/// HTTP server for callers and the load balancer. Limits the size of requests and the time for receiving them; emits an Exchange for each.
class HttpServer
{
public:
    /// Binds the address; with port 0 the kernel chooses one, see port(). Error: Unavailable, when the address can't be bound.
    /// A caller whose request is not received within the limit gets status 408, and its connection is closed.
    static Result<std::unique_ptr<HttpServer>> listen(EventLoop &loop, const Address &address, Duration requestReadLimit);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const
    {
        return m_address.port;
    }
    /// From now on refuses new connections while they make the event loop late (AcceptGate). Open ones stay.
    void refuseWhileLate(Metrics &metrics);
    /// Bounds the bytes of requests' bodies that are held, from now on. A body waits at its caller while there is no room, for MaxBodyWait at most, and one
    /// that arrives slowly makes room for it. Requests that find none are refused with 503.
    void limitBodies(std::size_t budgetBytes, Metrics &metrics);
    /// Refuses a request by its head, before its body is read; empty: it is not refused.
    using CheckHead = std::function<std::optional<HeadRefusal>(const RequestHead &head, std::string_view bytes)>;
    /// Called for bodies of over MinCheckedBytes, and those whose length is not known. Without limitBodies() it is not called.
    void setHeadCheck(CheckHead check)
    {
        m_checkHead = std::move(check);
    }
    /// From now on reports the bytes that are held for each connection whenever they change, all 0 when it is closed. Also limits what the kernel holds of
    /// answers that are not read.
    void countBuffers(std::function<void(CallerId, const CallerBuffers &)> changed);
    /// Whether any request was received whose answer is not written completely, on a connection that is open.
    bool hasAnswersUnderWay() const;
    /// Closes all connections and accepts none any more.
    void close();
    /// The connection whose bytes are counted; null if it was closed.
    std::shared_ptr<CallerConnection> connection(CallerId id) const;
    /// A complete request was received.
    sigc::signal<void, std::shared_ptr<Exchange>> &arrived()
    {
        return m_arrived;
    }

private:
    HttpServer(EventLoop &loop, evhttp *server, evhttp_bound_socket *socket, Address address, Duration requestReadLimit);
    static void onRequest(evhttp_request *request, void *self);
    static bufferevent *onConnection(event_base *base, void *self);
    static void onInput(evbuffer *input, const evbuffer_cb_info *info, void *self);
    static void onAnswerWritten(evhttp_request *request, void *self);
    static void onClosed(evhttp_connection *connection, void *self);
    struct PendingRead;
    void handleInput(evbuffer *input, const evbuffer_cb_info &info);
    const std::shared_ptr<RequestGate> &gateOf(PendingRead &pending);
    void closeGate(PendingRead &pending);
    void enforceReadLimit(evbuffer *input);
    void countInput(evbuffer *input, const evbuffer_cb_info &info);
    void limitSendBuffers();
    BodyAdmission admitBody(evbuffer *input, const RequestHead &head, std::string_view bytes);
    void admitWaiting(TimePoint now);
    void refuseSlowestBody(TimePoint now);
    void onAccepted();
    void watchLoad();
    void measureLoad(TimePoint now);
    void setAccepting(bool accepting);

    static constexpr Duration MaxBodyWait = std::chrono::seconds(1);
    static constexpr Duration BodyCheckInterval = std::chrono::milliseconds(10);
    /// A shorter body mostly arrives with its head, and costs less than reading the head twice.
    static constexpr std::uint64_t MinCheckedBytes = 16U << 10;

    EventLoop &m_loop;
    /// Null after close().
    evhttp *m_server;
    /// Null while new connections are refused.
    evhttp_bound_socket *m_socket;
    const Address m_address;
    const Duration m_requestReadLimit;
    /// A connection, and when its unfinished request began. Keyed by input buffer, whose addresses later connections reuse, so the map
    /// never exceeds the largest number of simultaneous connections.
    struct PendingRead
    {
        bufferevent *connection = nullptr;
        std::optional<TimePoint> startedAt;
        /// Null unless bytes are counted, and before the first byte.
        std::shared_ptr<CallerConnection> counted;
        /// Null before the first byte and after the connection was closed.
        std::shared_ptr<RequestGate> gate;
    };
    std::unordered_map<evbuffer *, PendingRead> m_pendingReads;
    struct Load
    {
        Load(EventLoop &loop, Counter pauseCounter, std::function<void()> measure)
            : pauses(pauseCounter)
            , timer(loop, std::move(measure))
        {
        }

        Counter pauses;
        Timer timer;
        AcceptGate gate;
        /// When the timer is due; none: it does not run.
        std::optional<TimePoint> dueAt;
        /// Since the last measurement.
        int newConnections = 0;
    };
    struct Bodies
    {
        Bodies(EventLoop &loop, std::size_t budgetBytes, Metrics &metrics, std::function<void()> check);

        BodyBudget budget;
        const std::size_t maxWaiting;
        /// Connections whose next body waits, in the order of their heads.
        std::deque<evbuffer *> waiting;
        Timer timer;
        Gauge held;
        Counter waits;
        Counter refusals;
        Counter slowRefusals;
    };
    /// Null unless limitBodies() was called.
    std::unique_ptr<Bodies> m_bodies;
    CheckHead m_checkHead;
    /// Null unless refuseWhileLate() was called.
    std::unique_ptr<Load> m_load;
    /// None unless countBuffers() was called.
    std::function<void(CallerId, const CallerBuffers &)> m_buffersChanged;
    std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> m_countedConnections;
    sigc::signal<void, std::shared_ptr<Exchange>> m_arrived;
};

}

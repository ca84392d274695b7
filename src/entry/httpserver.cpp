#include "entry/httpserver.h"

#include "common/fatalerrors.h"
#include "common/log.h"
#include "entry/callerconnection.h"
#include "entry/requestgate.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <string_view>
#include <utility>

namespace cumindyke
{

namespace
{

/// RequestReader has the limit. A head in canonical form may be longer than it was sent.
constexpr ev_ssize_t MaxHeaderBytes = 2 * RequestReader::MaxHeadBytes;
constexpr ev_ssize_t MaxBodyBytes = RequestReader::MaxBodyBytes;
/// What the kernel holds of an answer that is not read is memory of the VM too. Without a limit it grows to megabytes a connection. At 10 Mbit/s this is
/// 50 ms of answers, many times a round trip.
constexpr int SendBufferBytes = 64 << 10;
/// Connections without any bytes sent or received for this long are closed.
constexpr int IdleTimeoutSeconds = 60;
constexpr std::string_view ReadTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nX-Cumindyke-Outcome: not-run\r\n"
                                                 "Connection: close\r\nContent-Length: 130\r\n\r\n"
                                                 "{\"error\":{\"kind\":\"bad-request\",\"message\":\"the request took too long to arrive: send it "
                                                 "faster, or in parts\",\"outcome\":\"not-run\"}}\n";
/// Memory of a connection whose body waits: one read of the socket, in a piece of memory of twice its size.
constexpr std::size_t WaitingBytes = 32U << 10;
constexpr ev_uint16_t AllowedMethods
    = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

CallerId nextCallerId()
{
    static std::atomic<std::uint64_t> last = 0;
    return CallerId{++last};
}

constexpr const char *NoRoom = "this VM has no room for the body: try again after Retry-After";

HeadRefusal noRoomRefusal(const char *reason)
{
    return makeHeadRefusal(
        "503 Service Unavailable", "Retry-After: 1\r\n", reason, errorJson(Error{ErrorKind::Unavailable, reason}, RunOutcome::NotRun) + "\n");
}

std::uint16_t boundPort(evhttp_bound_socket *socket)
{
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&bound), &length);
    return ntohs(bound.sin_port);
}

}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(EventLoop &loop, const Address &address, Duration requestReadLimit)
{
    evhttp *server = evhttp_new(loop.base());
    evhttp_set_max_headers_size(server, MaxHeaderBytes);
    evhttp_set_max_body_size(server, MaxBodyBytes);
    evhttp_set_timeout(server, IdleTimeoutSeconds);
    evhttp_set_allowed_methods(server, AllowedMethods);
    evhttp_bound_socket *socket = evhttp_bind_socket_with_handle(server, address.host.c_str(), address.port);
    if (!socket) {
        evhttp_free(server);
        return Error{ErrorKind::Unavailable,
                     "the address " + toString(address) + " can't be bound: check that it belongs to this VM and that the port is not in use"};
    }
    return std::unique_ptr<HttpServer>(new HttpServer(loop, server, socket, Address{.host = address.host, .port = boundPort(socket)}, requestReadLimit));
}

HttpServer::HttpServer(EventLoop &loop, evhttp *server, evhttp_bound_socket *socket, Address address, Duration requestReadLimit)
    : m_loop(loop)
    , m_server(server)
    , m_socket(socket)
    , m_address(std::move(address))
    , m_requestReadLimit(requestReadLimit)
{
    evhttp_set_gencb(server, &HttpServer::onRequest, this);
    evhttp_set_bevcb(server, &HttpServer::onConnection, this);
}

HttpServer::~HttpServer()
{
    close();
}

HttpServer::Bodies::Bodies(EventLoop &loop, std::size_t budgetBytes, Metrics &metrics, std::function<void()> check)
    : budget(budgetBytes)
    , maxWaiting(budgetBytes / 4 / WaitingBytes)
    , timer(loop, std::move(check))
    , held(metrics.gauge("cumindyke_body_bytes", "Bytes reserved for the bodies of requests", {}))
    , waits(metrics.counter("cumindyke_body_waits_total", "Bodies that waited at their callers because the budget for bodies was used up"))
    , refusals(
          metrics.counter("cumindyke_body_refusals_total", "Requests that were refused because the budget for bodies was used up", {{"reason", "no-room"}}))
    , slowRefusals(
          metrics.counter("cumindyke_body_refusals_total", "Requests that were refused because the budget for bodies was used up", {{"reason", "slow"}}))
{
}

void HttpServer::limitBodies(std::size_t budgetBytes, Metrics &metrics)
{
    m_bodies = std::make_unique<Bodies>(m_loop, budgetBytes, metrics, [this] { admitWaiting(EventLoop::now()); });
}

BodyAdmission HttpServer::admitBody(evbuffer *input, const RequestHead &head, std::string_view bytes)
{
    const PendingRead &pending = m_pendingReads[input];
    const bool isChunked = head.framing == BodyFraming::Chunked;
    const bool isRetry = pending.gate->isWaiting();
    if (!isRetry && m_checkHead && (isChunked || head.length > MinCheckedBytes)) {
        if (auto refusal = m_checkHead(head, bytes)) {
            return BodyAdmission{.kind = BodyAdmission::Kind::Refuse, .reservation = {}, .refusal = std::move(*refusal)};
        }
    }
    auto reservation = m_bodies->budget.reserve(static_cast<std::size_t>(isChunked ? RequestReader::MaxBodyBytes : head.length));
    if (reservation) {
        return BodyAdmission{.kind = BodyAdmission::Kind::Read, .reservation = std::move(reservation), .refusal = {}};
    }
    if (!isRetry && m_bodies->waiting.size() >= m_bodies->maxWaiting) {
        m_bodies->refusals.add();
        return BodyAdmission{.kind = BodyAdmission::Kind::Refuse, .reservation = {}, .refusal = noRoomRefusal(NoRoom)};
    }
    if (!isRetry) {
        m_bodies->waits.add();
        m_bodies->waiting.push_back(input);
        m_bodies->timer.startOnceIfStopped(BodyCheckInterval);
    }
    return BodyAdmission{.kind = BodyAdmission::Kind::Wait, .reservation = {}, .refusal = {}};
}

/// Bodies are released in other tasks too, so the budget is looked at while any body waits for it.
void HttpServer::admitWaiting(TimePoint now)
{
    m_bodies->held.set(static_cast<double>(m_bodies->budget.usedBytes()));
    std::deque<evbuffer *> stillWaiting;
    for (evbuffer *input : std::exchange(m_bodies->waiting, {})) {
        const std::shared_ptr<RequestGate> gate = m_pendingReads[input].gate;
        // The connection was closed, and another one may have got its buffer.
        if (!gate || !gate->isWaiting()) {
            continue;
        }
        gate->retryBody();
        if (!gate->isWaiting()) {
            continue;
        }
        if (now - gate->bodySince() < MaxBodyWait) {
            stillWaiting.push_back(input);
            continue;
        }
        m_bodies->refusals.add();
        gate->refuseBody(noRoomRefusal(NoRoom));
    }
    m_bodies->waiting.insert(m_bodies->waiting.begin(), stillWaiting.begin(), stillWaiting.end());
    if (!m_bodies->waiting.empty()) {
        refuseSlowestBody(now);
        m_bodies->timer.startOnceIfStopped(BodyCheckInterval);
    }
}

/// Others wait for the room of a body that arrives slowly.
void HttpServer::refuseSlowestBody(TimePoint now)
{
    std::shared_ptr<RequestGate> slowest;
    for (const auto &[input, pending] : m_pendingReads) {
        const bool isSlow = pending.gate && pending.gate->isSlow(now);
        if (isSlow && (!slowest || pending.gate->bodySince() < slowest->bodySince())) {
            slowest = pending.gate;
        }
    }
    if (slowest) {
        m_bodies->slowRefusals.add();
        slowest->refuseBody(noRoomRefusal("the body arrives too slowly while this VM has no room for others: send it faster, or try again after Retry-After"));
    }
}

void HttpServer::close()
{
    m_bodies.reset();
    m_load.reset();
    m_socket = nullptr;
    if (evhttp *server = std::exchange(m_server, nullptr)) {
        evhttp_free(server);
    }
}

bool HttpServer::hasAnswersUnderWay() const
{
    return std::ranges::any_of(m_pendingReads, [](const auto &entry) { return entry.second.gate && entry.second.gate->isAnswering(); });
}

void HttpServer::refuseWhileLate(Metrics &metrics)
{
    const Counter pauses = metrics.counter("cumindyke_accept_pauses_total", "Times that new connections were refused because the event loop was late");
    m_load = std::make_unique<Load>(m_loop, pauses, [this] { measureLoad(EventLoop::now()); });
}

/// The connections that came while the loop was busy are accepted one after the other: the first few of them close the gate for the others.
void HttpServer::onAccepted()
{
    if (!m_load) {
        return;
    }
    ++m_load->newConnections;
    const TimePoint now = EventLoop::now();
    if (m_load->dueAt && now - *m_load->dueAt > AcceptGate::MaxLateness && m_load->newConnections >= AcceptGate::MinNewConnections) {
        measureLoad(now);
    }
    watchLoad();
}

/// Has the lateness of the event loop measured after the next interval.
void HttpServer::watchLoad()
{
    if (m_load && !m_load->dueAt) {
        m_load->dueAt = EventLoop::now() + AcceptGate::Interval;
        m_load->timer.startOnce(AcceptGate::Interval);
    }
}

void HttpServer::measureLoad(TimePoint now)
{
    const Duration lateness = now - m_load->dueAt.value_or(now);
    const int newConnections = std::exchange(m_load->newConnections, 0);
    m_load->dueAt.reset();
    const bool isOpen = m_load->gate.record(lateness, newConnections, now);
    if (!isOpen && m_socket) {
        m_load->pauses.add();
        logChange(
            "http", "connections-refused", {{"late_ms", std::to_string(wholeMilliseconds(lateness))}, {"new_connections", std::to_string(newConnections)}});
    }
    setAccepting(isOpen);
    if (!m_socket) {
        watchLoad();
    }
}

/// Meanwhile new connections are refused, and those that were not accepted yet are reset.
void HttpServer::setAccepting(bool accepting)
{
    if (accepting && !m_socket) {
        m_socket = evhttp_bind_socket_with_handle(m_server, m_address.host.c_str(), m_address.port);
        limitSendBuffers();
    } else if (!accepting && m_socket) {
        evhttp_del_accept_socket(m_server, m_socket);
        m_socket = nullptr;
    }
}

bufferevent *HttpServer::onConnection(event_base *base, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    server->onAccepted();
    bufferevent *connection = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    evbuffer *input = bufferevent_get_input(connection);
    server->m_pendingReads[input] = PendingRead{.connection = connection, .startedAt = {}, .counted = {}, .gate = {}};
    evbuffer_add_cb(input, &HttpServer::onInput, server);
    return connection;
}

void HttpServer::onInput(evbuffer *input, const evbuffer_cb_info *info, void *self)
{
    if (info->n_added > 0) {
        static_cast<HttpServer *>(self)->handleInput(input, *info);
    }
}

void HttpServer::handleInput(evbuffer *input, const evbuffer_cb_info &info)
{
    PendingRead &pending = m_pendingReads[input];
    // Whoever is told of the count may close the connection.
    const std::shared_ptr<RequestGate> gate = gateOf(pending);
    if (gate->isReleasing()) {
        return;
    }
    if (!gate->hasRefused()) {
        countInput(input, info);
        enforceReadLimit(input);
    }
    if (pending.gate == gate) {
        gate->handleInput(info);
        noteInput(bufferevent_getfd(pending.connection), gate->stateName());
    }
}

/// Creates it with the connection's first byte: before, libevent's connection is not known.
const std::shared_ptr<RequestGate> &HttpServer::gateOf(PendingRead &pending)
{
    if (!pending.gate) {
        void *connection = nullptr;
        bufferevent_getcb(pending.connection, nullptr, nullptr, nullptr, &connection);
        evhttp_connection_set_closecb(static_cast<evhttp_connection *>(connection), &HttpServer::onClosed, this);
        AdmitBody admit;
        if (m_bodies) {
            admit = [this, input = bufferevent_get_input(pending.connection)](const RequestHead &head, std::string_view bytes) {
                return admitBody(input, head, bytes);
            };
        }
        pending.gate = std::make_shared<RequestGate>(
            m_loop,
            pending.connection,
            [](int status, const char *reason) {
                logChange("http", "request-refused", {{"status", std::to_string(status)}, {"why", reason}});
            },
            std::move(admit));
    }
    return pending.gate;
}

/// The gate may be in a callback of its own.
void HttpServer::closeGate(PendingRead &pending)
{
    if (pending.gate) {
        pending.gate->close();
        m_loop.releaseLater(std::exchange(pending.gate, nullptr));
    }
}

void HttpServer::countBuffers(std::function<void(CallerId, const CallerBuffers &)> changed)
{
    m_buffersChanged = std::move(changed);
    limitSendBuffers();
}

/// Accepted connections inherit the size from the socket that accepts them.
void HttpServer::limitSendBuffers()
{
    if (m_buffersChanged && m_socket) {
        setsockopt(evhttp_bound_socket_get_fd(m_socket), SOL_SOCKET, SO_SNDBUF, &SendBufferBytes, sizeof SendBufferBytes);
    }
}

std::shared_ptr<CallerConnection> HttpServer::connection(CallerId id) const
{
    const auto found = m_countedConnections.find(id.value);
    return found == m_countedConnections.end() ? nullptr : found->second;
}

void HttpServer::countInput(evbuffer *input, const evbuffer_cb_info &info)
{
    if (!m_buffersChanged) {
        return;
    }
    PendingRead &pending = m_pendingReads[input];
    if (!pending.counted) {
        pending.counted = std::make_shared<CallerConnection>(nextCallerId(), pending.connection, m_buffersChanged, [this](CallerConnection &closed) {
            PendingRead &closing = m_pendingReads[closed.input()];
            closing.counted = nullptr;
            closeGate(closing);
            // Its close callback is still running.
            if (const auto held = m_countedConnections.extract(closed.id().value)) {
                m_loop.releaseLater(held.mapped());
            }
        });
        m_countedConnections[pending.counted->id().value] = pending.counted;
    }
    pending.counted->recordInput(info);
}

/// Guards against slow callers that exhaust the VM's connections. libevent restarts its timeout with each byte, so a caller that sends
/// one byte a minute would keep its connection for days, and a few thousand such callers would use all connections that the VM may
/// open. The limit is checked whenever bytes are received; a caller that sends nothing runs into libevent's timeout instead, so a request
/// takes at most the sum of both. Bytes that come during an answer belong to the next request, whose time begins with the end of the answer: status 408 would
/// be written into the answer.
void HttpServer::enforceReadLimit(evbuffer *input)
{
    PendingRead &pending = m_pendingReads[input];
    if (!pending.gate || !pending.gate->isReading()) {
        return;
    }
    const TimePoint now = EventLoop::now();
    if (!pending.startedAt) {
        pending.startedAt = now;
        return;
    }
    if (now - *pending.startedAt < m_requestReadLimit) {
        return;
    }
    // libevent then detects the close.
    const evutil_socket_t socket = bufferevent_getfd(pending.connection);
    send(socket, ReadTimeoutResponse.data(), ReadTimeoutResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    shutdown(socket, SHUT_RDWR);
}

void HttpServer::onAnswerWritten(evhttp_request *request, void *self)
{
    Exchange::allowEndInOrder(request);
    evbuffer *input = bufferevent_get_input(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
    PendingRead &pending = static_cast<HttpServer *>(self)->m_pendingReads[input];
    if (!pending.gate) {
        return;
    }
    if (evbuffer_get_length(pending.gate->held()) > 0) {
        pending.startedAt = EventLoop::now();
    }
    pending.gate->endRequest();
}

void HttpServer::onClosed(evhttp_connection *connection, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    server->closeGate(server->m_pendingReads[bufferevent_get_input(evhttp_connection_get_bufferevent(connection))]);
}

void HttpServer::onRequest(evhttp_request *request, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    PendingRead &pending = server->m_pendingReads[bufferevent_get_input(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)))];
    pending.startedAt.reset();
    evhttp_request_set_on_complete_cb(request, &HttpServer::onAnswerWritten, server);
    server->watchLoad();
    const auto exchange = std::make_shared<Exchange>(server->m_loop, request, pending.gate->takeTarget(), pending.gate->takeReservation());
    exchange->setCloseCallback(&HttpServer::onClosed, server);
    if (pending.counted) {
        exchange->setConnection(pending.counted);
        pending.counted->beginExchange(exchange, pending.gate->held());
    }
    server->m_arrived.emit(exchange);
}

}

#include "entry/exchange.h"

#include "entry/bodybudget.h"
#include "entry/callerconnection.h"
#include "entry/headers.h"
#include "entry/requestreader.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <sys/socket.h>

namespace cumindyke
{

namespace
{

/// A caller's end must be noticed within half a second, also on a busy machine.
constexpr timeval PeerCheckInterval{.tv_sec = 0, .tv_usec = 100'000};

const char *methodName(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

struct ReservedBody
{
    std::string content;
    std::shared_ptr<BodyReservation> reservation;
};

/// Moves the content out of the buffer: libevent would keep a second copy until the end of the answer.
std::shared_ptr<const std::string> takeContent(evbuffer *buffer, std::shared_ptr<BodyReservation> reservation)
{
    auto body = std::make_shared<ReservedBody>(ReservedBody{.content = std::string(evbuffer_get_length(buffer), '\0'), .reservation = std::move(reservation)});
    evbuffer_remove(buffer, body->content.data(), body->content.size());
    if (body->reservation) {
        body->reservation->shrinkTo(body->content.size());
    }
    return {body, &body->content};
}

/// Whether closing the connection, also by the end of this process, resets it.
void setResetOnClose(evhttp_request *request, bool reset)
{
    const linger value{.l_onoff = reset ? 1 : 0, .l_linger = 0};
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &value, sizeof value);
}

/// HTTP/1.0 has no chunks: a streamed answer ends with its connection.
bool endsWithConnection(const evhttp_request *request)
{
    return request->major < 1 || (request->major == 1 && request->minor < 1);
}

/// As libevent decides it (RFC 9110, 6.4.1).
bool needsBody(const evhttp_request *request)
{
    const int status = request->response_code;
    return request->type != EVHTTP_REQ_HEAD && status >= HTTP_OK && status != HTTP_NOCONTENT && status != HTTP_NOTMODIFIED;
}

/// Whether the caller has closed or reset the connection. A caller that has closed its sending direction only counts as gone.
bool hasLeft(evhttp_request *request)
{
    pollfd state{.fd = bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request))), .events = POLLRDHUP, .revents = 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool isRetryable(ErrorKind kind)
{
    return kind == ErrorKind::Overloaded || kind == ErrorKind::Unavailable;
}

}

int httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadRequest:
    case ErrorKind::Invalid:
        return 400;
    case ErrorKind::Unauthorised:
        return 401;
    case ErrorKind::Forbidden:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::Overloaded:
        return 429;
    case ErrorKind::Unavailable:
    case ErrorKind::Storage:
    case ErrorKind::StorageFull:
        return 503;
    case ErrorKind::DeadlinePassed:
        return 504;
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::UpstreamFailed:
        return 502;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

std::string errorJson(const Error &error, RunOutcome outcome)
{
    const nlohmann::ordered_json json{{"error", {{"kind", toString(error.kind)}, {"message", error.message}, {"outcome", toString(outcome)}}}};
    // The message may contain invalid bytes from the caller: replace what is not UTF-8 instead of throwing.
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

Exchange::Exchange(EventLoop &loop, evhttp_request *request, std::optional<std::string> target, std::shared_ptr<BodyReservation> reservation)
    : m_loop(loop)
    , m_request(request)
    , m_method(methodName(evhttp_request_get_command(request)))
    , m_target(target ? std::move(*target) : evhttp_request_get_uri(request))
    , m_body(takeContent(evhttp_request_get_input_buffer(request), std::move(reservation)))
{
    // Not libevent's path: it takes "//a/b" for a host and a path, so that a route was chosen by another path than the one that was sent on.
    m_path = pathOf(m_target);
    evhttp_connection *connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, &Exchange::onConnectionFreed, this);
    // libevent does not read while a reply is pending, so it would detect that the caller has disconnected only when a write fails, after
    // the upstream has done the work. This event detects the end without reading. libevent reports a reset as EV_READ and never as EV_CLOSED, and an
    // event that waits for EV_CLOSED only lets the loop spin on it.
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    m_closedEvent = event_new(loop.base(), socket, EV_CLOSED | EV_READ, &Exchange::onPeerEvent, this);
    event_add(m_closedEvent, nullptr);
}

Exchange::~Exchange()
{
    if (m_request) {
        replyError(Error{ErrorKind::Internal, "the request was dropped because of an internal error: please report it"}, RunOutcome::Unknown);
    }
}

std::string Exchange::header(const char *name) const
{
    const char *value = m_request ? evhttp_find_header(evhttp_request_get_input_headers(m_request), name) : nullptr;
    return value ? value : "";
}

std::vector<std::pair<std::string, std::string>> Exchange::headers() const
{
    std::vector<std::pair<std::string, std::string>> headers;
    if (!m_request) {
        return headers;
    }
    const evkeyvalq *received = evhttp_request_get_input_headers(m_request);
    for (const evkeyval *header = received->tqh_first; header; header = header->next.tqe_next) {
        headers.emplace_back(header->key, header->value);
    }
    return headers;
}

void Exchange::addHeader(const std::string &name, const std::string &value)
{
    if (m_request) {
        evhttp_add_header(evhttp_request_get_output_headers(m_request), name.c_str(), value.c_str());
    }
}

void Exchange::saveAnswer(std::size_t limitBytes)
{
    m_saveLimitBytes = limitBytes;
}

std::optional<SavedAnswer> Exchange::savedAnswer() const
{
    return m_savedAnswer && m_savedAnswer->body.size() <= m_saveLimitBytes ? m_savedAnswer : std::nullopt;
}

void Exchange::saveHead(int status, const std::string &contentType)
{
    if (m_saveLimitBytes > 0) {
        m_savedAnswer = SavedAnswer{.status = status, .contentType = contentType, .body = {}};
    }
}

void Exchange::saveBody(std::string_view bytes)
{
    // One byte over the limit marks the saved answer as too large.
    if (m_savedAnswer && m_savedAnswer->body.size() <= m_saveLimitBytes) {
        m_savedAnswer->body += bytes.substr(0, m_saveLimitBytes + 1 - m_savedAnswer->body.size());
    }
}

void Exchange::reply(int status, const std::string &contentType, std::string_view body)
{
    saveHead(status, contentType);
    saveBody(body);
    if (!m_request) {
        return;
    }
    addHeader("Content-Type", contentType);
    if (endsWithConnection(m_request)) {
        // libevent adds it for HTTP/1.1 only. Without it a part of the answer looks like all of it if this process ends meanwhile.
        addHeader("Content-Length", std::to_string(body.size()));
    }
    evhttp_request *request = m_request;
    detachRequest();
    evbuffer *content = evbuffer_new();
    evbuffer_add(content, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, content);
    evbuffer_free(content);
}

void Exchange::replyError(const Error &error, RunOutcome outcome, std::chrono::seconds retryAfter)
{
    addHeader(headers::Outcome, toString(outcome));
    if (isRetryable(error.kind)) {
        addHeader(headers::RetryAfter, std::to_string(retryAfter.count()));
    }
    reply(httpStatus(error.kind), "application/json", errorJson(error, outcome) + "\n");
}

void Exchange::startStream(int status, const std::string &contentType)
{
    if (m_streamStarted) {
        return;
    }
    m_streamStarted = true;
    saveHead(status, contentType);
    if (!m_request) {
        return;
    }
    addHeader("Content-Type", contentType);
    if (!m_connectionFreed && endsWithConnection(m_request)) {
        // Only an answer that was ended and written may look like a whole one.
        setResetOnClose(m_request, true);
        addHeader("Connection", "close");
    }
    evhttp_send_reply_start(m_request, status, nullptr);
}

void Exchange::streamData(std::string_view bytes)
{
    saveBody(bytes);
    if (!m_request || m_connectionFreed || bytes.empty()) {
        return;
    }
    if (m_counted && unreadBytes() > 0 && needsBody(m_request)) {
        appendChunk(bytes);
        return;
    }
    evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    evhttp_send_reply_chunk_with_cb(m_request, chunk, &Exchange::onWritten, this);
    evbuffer_free(chunk);
}

/// Appends to what is still unread; onWritten() is already due when all is written. libevent would add a separate piece of memory of 1 KB for each event of
/// some tens of bytes, so that the memory for a slow reader would be many times the bytes that are counted.
void Exchange::appendChunk(std::string_view bytes)
{
    evbuffer *output = bufferevent_get_output(evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_request)));
    if (m_request->chunked) {
        evbuffer_add_printf(output, "%zx\r\n", bytes.size());
    }
    evbuffer_add(output, bytes.data(), bytes.size());
    if (m_request->chunked) {
        evbuffer_add(output, "\r\n", 2);
    }
}

void Exchange::endStream()
{
    if (!m_request) {
        return;
    }
    evhttp_request *request = m_request;
    detachRequest();
    evhttp_send_reply_end(request);
}

void Exchange::allowEndInOrder(evhttp_request *request)
{
    if (endsWithConnection(request)) {
        setResetOnClose(request, false);
    }
}

void Exchange::abort()
{
    if (!m_request) {
        return;
    }
    evhttp_connection *connection = m_connectionFreed ? nullptr : evhttp_request_get_connection(m_request);
    evhttp_request *request = m_request;
    detachRequest();
    if (connection) {
        if (m_closeCallback) {
            m_closeCallback(connection, m_closeArgument);
        }
        if (m_streamStarted && endsWithConnection(request)) {
            // libevent would end the connection in order first.
            bufferevent *buffers = evhttp_connection_get_bufferevent(connection);
            const evutil_socket_t socket = bufferevent_getfd(buffers);
            bufferevent_setfd(buffers, -1);
            evutil_closesocket(socket);
        }
        // Frees the request too.
        evhttp_connection_free(connection);
    } else {
        evhttp_send_reply_end(request);
    }
}

void Exchange::reset()
{
    if (m_request && !m_connectionFreed) {
        resetSocket(bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_request))));
    }
    abort();
}

void Exchange::setConnection(std::shared_ptr<CallerConnection> connection)
{
    m_counted = std::move(connection);
}

void Exchange::setCloseCallback(void (*callback)(evhttp_connection *connection, void *argument), void *argument)
{
    m_closeCallback = callback;
    m_closeArgument = argument;
}

void Exchange::setHeldAnswer(std::size_t bytes)
{
    if (m_counted) {
        m_counted->setHeldAnswer(bytes);
    }
}

std::size_t Exchange::unreadBytes() const
{
    if (!m_request || m_connectionFreed) {
        return 0;
    }
    evhttp_connection *connection = evhttp_request_get_connection(m_request);
    return connection ? evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(connection))) : 0;
}

void Exchange::onPeerEvent(int /*fd*/, short /*what*/, void *self)
{
    auto *exchange = static_cast<Exchange *>(self);
    if (hasLeft(exchange->m_request)) {
        exchange->notifyCallerDisconnected();
        return;
    }
    if (event_get_fd(exchange->m_closedEvent) < 0) {
        return;
    }
    // Bytes of the caller wait to be read after the answer, so EV_READ would fire all the time: the connection is checked by a timer from now on.
    event_free(exchange->m_closedEvent);
    exchange->m_closedEvent = event_new(exchange->m_loop.base(), -1, EV_PERSIST, &Exchange::onPeerEvent, self);
    event_add(exchange->m_closedEvent, &PeerCheckInterval);
}

void Exchange::onConnectionFreed(evhttp_connection *connection, void *self)
{
    auto *exchange = static_cast<Exchange *>(self);
    exchange->m_connectionFreed = true;
    if (exchange->m_request && evhttp_request_get_connection(exchange->m_request)) {
        // The server is closed: libevent frees the request with its connection. A request whose caller has left is taken from the connection first, and
        // stays until it is answered.
        exchange->m_request = nullptr;
    }
    if (exchange->m_closeCallback) {
        exchange->m_closeCallback(connection, exchange->m_closeArgument);
    }
    if (exchange->m_counted) {
        std::exchange(exchange->m_counted, nullptr)->handleClosed();
    }
    exchange->notifyCallerDisconnected();
}

void Exchange::onWritten(evhttp_connection * /*connection*/, void *self)
{
    static_cast<Exchange *>(self)->m_drained.emit();
}

void Exchange::notifyCallerDisconnected()
{
    if (m_closedEvent) {
        event_free(m_closedEvent);
        m_closedEvent = nullptr;
        m_callerDisconnected.emit();
    }
}

/// Returns the request to libevent, which sends pending output and frees it. No callback of this object is called afterwards.
void Exchange::detachRequest()
{
    if (m_closedEvent) {
        event_free(m_closedEvent);
        m_closedEvent = nullptr;
    }
    evhttp_connection *connection = m_connectionFreed ? nullptr : evhttp_request_get_connection(m_request);
    if (connection) {
        evhttp_connection_set_closecb(connection, m_closeCallback, m_closeArgument);
    }
    if (m_counted) {
        std::exchange(m_counted, nullptr)->endExchange();
    }
    m_request = nullptr;
}

}

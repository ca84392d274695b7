#include "entry/callerconnection.h"

#include "entry/exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace cumindyke
{

namespace
{

/// A header field takes about this much more memory than its bytes: in libevent's list, in the request to the upstream and in that request's list. Without
/// it, a header of 32 KB in lines of four bytes would be counted as 32 KB and take 2 MB.
constexpr std::size_t HeaderFieldOverhead = 256;

/// Memory that one read of a body takes at least: libevent keeps each chunk of a body that comes in a packet of its own in a piece of this size.
constexpr std::size_t MinReadCost = 1024;

std::string refusalText()
{
    const std::string body
        = errorJson(Error{ErrorKind::Unavailable, "this VM has no buffer space for the request: try again after Retry-After"}, RunOutcome::NotRun) + "\n";
    return "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nX-Cumindyke-Outcome: not-run\r\nRetry-After: 1\r\nConnection: close\r\n"
           "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// libevent gives its connection to no callback before a request is complete, but passes it to its own callbacks of the buffers.
evhttp_connection *connectionOf(bufferevent *buffers)
{
    void *connection = nullptr;
    bufferevent_getcb(buffers, nullptr, nullptr, nullptr, &connection);
    return static_cast<evhttp_connection *>(connection);
}

}

void resetSocket(int socket)
{
    // A socket that is dissolved from its peer sends a reset at once; closing it would first end the connection in order.
    const sockaddr none{.sa_family = AF_UNSPEC, .sa_data = {}};
    static_cast<void>(connect(socket, &none, sizeof none));
}

CallerConnection::CallerConnection(CallerId id, bufferevent *buffers, Changed changed, Closed closed)
    : m_id(id)
    , m_buffers(buffers)
    , m_input(bufferevent_get_input(buffers))
    , m_connection(connectionOf(buffers))
    , m_changed(std::move(changed))
    , m_closed(std::move(closed))
{
    evhttp_connection_set_closecb(m_connection, &CallerConnection::onClosed, this);
    evbuffer_add_cb(bufferevent_get_output(buffers), &CallerConnection::onOutput, this);
}

CallerConnection::~CallerConnection()
{
    if (m_isOpen) {
        evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
        evbuffer_remove_cb(bufferevent_get_output(m_buffers), &CallerConnection::onOutput, this);
    }
}

void CallerConnection::recordInput(const evbuffer_cb_info &info)
{
    if (!m_inHeader && info.n_added < MinReadCost) {
        m_receivedBody += MinReadCost - info.n_added;
    }
    m_receivedBody += info.n_added;
    scanHeader(m_input, info.orig_size, info.n_added);
    notify();
}

/// Scans a part of the received bytes for the end of the header, and counts the header's fields.
void CallerConnection::scanHeader(evbuffer *received, std::size_t offset, std::size_t length)
{
    if (!m_inHeader || length == 0) {
        return;
    }
    evbuffer_ptr position{};
    evbuffer_ptr_set(received, &position, offset, EVBUFFER_PTR_SET);
    std::vector<evbuffer_iovec> pieces(static_cast<std::size_t>(evbuffer_peek(received, static_cast<ev_ssize_t>(length), &position, nullptr, 0)));
    evbuffer_peek(received, static_cast<ev_ssize_t>(length), &position, pieces.data(), static_cast<int>(pieces.size()));
    for (const evbuffer_iovec &piece : pieces) {
        const std::string_view bytes(static_cast<const char *>(piece.iov_base), std::min(piece.iov_len, length));
        length -= bytes.size();
        for (const char byte : bytes) {
            --m_receivedBody;
            ++m_receivedHeader;
            if (byte != '\n') {
                m_lineLength += byte == '\r' ? 0 : 1;
                continue;
            }
            if (m_lineLength == 0) {
                m_inHeader = false;
                return;
            }
            m_receivedHeader += HeaderFieldOverhead;
            m_lineLength = 0;
        }
    }
}

void CallerConnection::beginRequest(evbuffer *received)
{
    m_inHeader = true;
    m_lineLength = 0;
    m_receivedHeader = 0;
    m_receivedBody = evbuffer_get_length(received);
    scanHeader(received, 0, m_receivedBody);
}

void CallerConnection::beginExchange(const std::shared_ptr<Exchange> &exchange, evbuffer *next)
{
    m_exchange = exchange;
    // The caller may have sent a part of its next request already.
    m_heldHeader = m_receivedHeader;
    m_heldBody = exchange->body().size();
    beginRequest(next);
    notify();
}

void CallerConnection::endExchange()
{
    m_exchange.reset();
    m_heldBody = 0;
    m_heldAnswer = 0;
    if (m_isOpen) {
        evhttp_connection_set_closecb(m_connection, &CallerConnection::onClosed, this);
    }
    notify();
}

void CallerConnection::setHeldAnswer(std::size_t bytes)
{
    m_heldAnswer = bytes;
    notify();
}

void CallerConnection::onOutput(evbuffer * /*output*/, const evbuffer_cb_info *info, void *self)
{
    auto *connection = static_cast<CallerConnection *>(self);
    connection->m_unread = info->orig_size + info->n_added - info->n_deleted;
    if (connection->m_unread == 0 && connection->m_exchange.expired()) {
        connection->m_heldHeader = 0;
    }
    connection->notify();
}

void CallerConnection::onClosed(evhttp_connection * /*connection*/, void *self)
{
    static_cast<CallerConnection *>(self)->handleClosed();
}

void CallerConnection::handleClosed()
{
    if (!m_isOpen) {
        return;
    }
    m_isOpen = false;
    evbuffer_remove_cb(bufferevent_get_output(m_buffers), &CallerConnection::onOutput, this);
    notify();
    m_closed(*this);
}

void CallerConnection::notify()
{
    CallerBuffers now;
    if (m_isOpen) {
        now = CallerBuffers{.receiving = m_receivedHeader + m_receivedBody, .held = m_heldHeader + m_heldBody + m_heldAnswer, .unread = m_unread};
    }
    if (now != m_notified) {
        m_notified = now;
        m_changed(m_id, now);
    }
}

void CallerConnection::refuseRequest()
{
    // A connection that is still receiving has no answer under way that these bytes could corrupt. libevent then detects the close.
    static const std::string Refusal = refusalText();
    const evutil_socket_t socket = bufferevent_getfd(m_buffers);
    send(socket, Refusal.data(), Refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    shutdown(socket, SHUT_RDWR);
}

void CallerConnection::reset()
{
    resetSocket(bufferevent_getfd(m_buffers));
    evhttp_connection_free(m_connection);
}

}

#include "entry/httpserver.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <string_view>

namespace cumindyke
{

namespace
{

constexpr ev_ssize_t MaxHeaderBytes = 32 << 10;
constexpr ev_ssize_t MaxBodyBytes = 4 << 20;
/// A caller that neither sends nor reads for this long is cut off.
constexpr int IdleSeconds = 60;
constexpr std::string_view SlowSenderAnswer = "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nX-Cumindyke-Outcome: not-run\r\n"
                                              "Connection: close\r\nContent-Length: 130\r\n\r\n"
                                              "{\"error\":{\"kind\":\"bad-request\",\"message\":\"the request took too long to arrive: send it "
                                              "faster, or in parts\",\"outcome\":\"not-run\"}}\n";
constexpr ev_uint16_t AllowedMethods
    = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(EventLoop &loop, const Address &address, Duration requestReadLimit)
{
    evhttp *server = evhttp_new(loop.base());
    evhttp_set_max_headers_size(server, MaxHeaderBytes);
    evhttp_set_max_body_size(server, MaxBodyBytes);
    evhttp_set_timeout(server, IdleSeconds);
    evhttp_set_allowed_methods(server, AllowedMethods);
    evhttp_bound_socket *socket = evhttp_bind_socket_with_handle(server, address.host.c_str(), address.port);
    if (!socket) {
        evhttp_free(server);
        return Error{ErrorKind::Unavailable,
                     "the address " + toString(address) + " can't be bound: check that it is this VM's and that nothing else uses the port"};
    }
    return std::unique_ptr<HttpServer>(new HttpServer(loop, server, socket, requestReadLimit));
}

HttpServer::HttpServer(EventLoop &loop, evhttp *server, evhttp_bound_socket *socket, Duration requestReadLimit)
    : m_loop(loop)
    , m_server(server)
    , m_socket(socket)
    , m_requestReadLimit(requestReadLimit)
{
    evhttp_set_gencb(server, &HttpServer::requestCame, this);
    evhttp_set_bevcb(server, &HttpServer::connectionCame, this);
}

HttpServer::~HttpServer()
{
    evhttp_free(m_server);
}

std::uint16_t HttpServer::port() const
{
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr *>(&bound), &length);
    return ntohs(bound.sin_port);
}

bufferevent *HttpServer::connectionCame(event_base *base, void *self)
{
    auto *door = static_cast<HttpServer *>(self);
    bufferevent *connection = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    evbuffer *input = bufferevent_get_input(connection);
    door->m_readings[input] = Reading{.connection = connection, .since = {}};
    evbuffer_add_cb(input, &HttpServer::bytesCame, door);
    return connection;
}

void HttpServer::bytesCame(evbuffer *input, const evbuffer_cb_info *info, void *self)
{
    if (info->n_added > 0) {
        static_cast<HttpServer *>(self)->checkReadTime(input);
    }
}

/// libevent's timeout starts again with each byte, so a caller that sends one byte a minute would hold its connection for days, and
/// some thousands of such callers would hold every connection that the VM may open. The time is checked at each byte that comes: one
/// who sends nothing meets libevent's timeout instead, so nobody stays longer than both together.
void HttpServer::checkReadTime(evbuffer *input)
{
    Reading &reading = m_readings[input];
    const TimePoint now = EventLoop::now();
    if (!reading.since) {
        reading.since = now;
        return;
    }
    if (now - *reading.since < m_requestReadLimit) {
        return;
    }
    // No answer has begun on a connection that still reads, so the bytes can't mix with one; then libevent sees the connection's end.
    const evutil_socket_t socket = bufferevent_getfd(reading.connection);
    send(socket, SlowSenderAnswer.data(), SlowSenderAnswer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    shutdown(socket, SHUT_RDWR);
}

void HttpServer::requestCame(evhttp_request *request, void *self)
{
    auto *door = static_cast<HttpServer *>(self);
    door->m_readings[bufferevent_get_input(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)))].since.reset();
    door->m_arrived.emit(std::make_shared<Exchange>(door->m_loop, request));
}

}

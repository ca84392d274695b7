#pragma once

#include "common/eventloop.h"
#include "common/result.h"
#include "entry/exchange.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <optional>
#include <unordered_map>

struct evhttp;
struct evhttp_bound_socket;
struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event_base;

namespace cumindyke
{

/// The HTTP server that callers and the balancer talk to. Limits sizes and times, and hands every request on as an Exchange.
class HttpServer
{
public:
    /// Error: Unavailable, when the address can't be bound. A port of 0 lets the kernel choose: see port().
    /// A caller that takes longer than the limit to send one request, however steadily, is answered 408 and cut off.
    static Result<std::unique_ptr<HttpServer>> listen(EventLoop &loop, const Address &address, Duration requestReadLimit);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;
    sigc::signal<void, std::shared_ptr<Exchange>> &arrived()
    {
        return m_arrived;
    }

private:
    HttpServer(EventLoop &loop, evhttp *server, evhttp_bound_socket *socket, Duration requestReadLimit);
    static void requestCame(evhttp_request *request, void *self);
    static bufferevent *connectionCame(event_base *base, void *self);
    static void bytesCame(evbuffer *input, const evbuffer_cb_info *info, void *self);
    void checkReadTime(evbuffer *input);

    EventLoop &m_loop;
    evhttp *m_server;
    evhttp_bound_socket *m_socket;
    const Duration m_requestReadLimit;
    /// The connection of each input buffer, and when the request that it is sending began. A buffer's address is used again by later
    /// connections, so there are never more of them than connections at one time.
    struct Reading
    {
        bufferevent *connection = nullptr;
        std::optional<TimePoint> since;
    };
    std::unordered_map<evbuffer *, Reading> m_readings;
    sigc::signal<void, std::shared_ptr<Exchange>> m_arrived;
};

}

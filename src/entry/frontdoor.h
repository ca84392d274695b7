#pragma once

#include "common/eventloop.h"
#include "common/result.h"
#include "entry/exchange.h"

#include <sigc++/sigc++.h>

#include <memory>

struct evhttp;
struct evhttp_bound_socket;

namespace cumindyke
{

/// The HTTP server that callers and the balancer talk to. Limits sizes and times, and hands every request on as an Exchange.
class FrontDoor
{
public:
    /// Error: Unavailable, when the address can't be bound. A port of 0 lets the kernel choose: see port().
    static Result<std::unique_ptr<FrontDoor>> listen(EventLoop &loop, const Address &address);
    ~FrontDoor();
    FrontDoor(const FrontDoor &) = delete;
    FrontDoor &operator=(const FrontDoor &) = delete;

    std::uint16_t port() const;
    sigc::signal<void, std::shared_ptr<Exchange>> &arrived()
    {
        return m_arrived;
    }

private:
    FrontDoor(EventLoop &loop, evhttp *server, evhttp_bound_socket *socket);
    static void requestCame(evhttp_request *request, void *self);

    EventLoop &m_loop;
    evhttp *m_server;
    evhttp_bound_socket *m_socket;
    sigc::signal<void, std::shared_ptr<Exchange>> m_arrived;
};

}

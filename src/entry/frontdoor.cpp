#include "entry/frontdoor.h"

#include <event2/http.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <sys/socket.h>

namespace cumindyke
{

namespace
{

constexpr ev_ssize_t MaxHeaderBytes = 32 << 10;
constexpr ev_ssize_t MaxBodyBytes = 4 << 20;
/// A caller that neither sends nor reads for this long is cut off.
constexpr int IdleSeconds = 60;
constexpr ev_uint16_t AllowedMethods
    = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

}

Result<std::unique_ptr<FrontDoor>> FrontDoor::listen(EventLoop &loop, const Address &address)
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
    return std::unique_ptr<FrontDoor>(new FrontDoor(loop, server, socket));
}

FrontDoor::FrontDoor(EventLoop &loop, evhttp *server, evhttp_bound_socket *socket)
    : m_loop(loop)
    , m_server(server)
    , m_socket(socket)
{
    evhttp_set_gencb(server, &FrontDoor::requestCame, this);
}

FrontDoor::~FrontDoor()
{
    evhttp_free(m_server);
}

std::uint16_t FrontDoor::port() const
{
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr *>(&bound), &length);
    return ntohs(bound.sin_port);
}

void FrontDoor::requestCame(evhttp_request *request, void *self)
{
    auto *door = static_cast<FrontDoor *>(self);
    door->m_arrived.emit(std::make_shared<Exchange>(door->m_loop, request));
}

}

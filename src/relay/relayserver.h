#pragma once

#include "common/eventloop.h"
#include "common/metrics.h"
#include "common/result.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <list>
#include <memory>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace cumindyke
{

/// What a relay answers to a VM that asks for a connection, beside StatusUpstreamUnreachable.
constexpr int StatusConnected = 200;
/// This VM has no path itself, shuts down or is full: the other VM uses another relay.
constexpr int StatusNoRelay = 503;

/// Which upstreams this VM reaches.
enum class RelayPath {
    Whole,
    Partial, ///< some, while most of those that were tried lately are not reached
    None, ///< none, or this VM shuts down
};

struct RelayServerOptions
{
    Address address;
    /// Time for a connection to an upstream, and for the request that asks for one.
    Duration connectTimeout;
    /// Maps an upstream's address to the one that is connected to; none: the same.
    std::function<Address(const Address &)> mapAddress = {};
};

/// Opens connections to upstreams for VMs that have no path of their own, and passes the bytes on unchanged. A VM asks with "CONNECT IP:PORT HTTP/1.1"
/// (RFC 9110, 9.3.6). The VM that asks keeps the record of its attempts, so nothing is decided here, and a connection is never relayed twice. Used in one
/// task's loop, only between VMs that speak plaintext to each other.
class RelayServer
{
public:
    /// Error: Unavailable, when the address can't be bound.
    static Result<std::unique_ptr<RelayServer>> listen(EventLoop &loop, RelayServerOptions options, Metrics &metrics);
    ~RelayServer();
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    /// Without a path, requests are answered with StatusNoRelay. With a partial one a connection is tried: an upstream that refuses it has ended, one that
    /// does not answer may be reached by others. Open connections stay.
    void setPath(RelayPath path)
    {
        m_path = path;
    }
    /// Open connections, and those that are being opened.
    std::size_t connectionCount() const
    {
        return m_tunnels.size();
    }
    /// A connection to an upstream was opened.
    sigc::signal<void, const Address &> &connected()
    {
        return m_connected;
    }
    /// A connection to an upstream that was begun at this time could not be opened.
    sigc::signal<void, const Address &, TimePoint> &connectFailed()
    {
        return m_connectFailed;
    }

private:
    class Tunnel;

    RelayServer(EventLoop &loop, RelayServerOptions options, Metrics &metrics);
    static void onAccepted(evconnlistener *listener, int socket, sockaddr *from, int length, void *self);
    void remove(Tunnel &tunnel);

    EventLoop &m_loop;
    const RelayServerOptions m_options;
    evconnlistener *m_listener = nullptr;
    RelayPath m_path = RelayPath::Whole;
    std::list<std::shared_ptr<Tunnel>> m_tunnels;
    Counter m_relayed;
    Counter m_endedInOrder;
    Counter m_reset;
    sigc::signal<void, const Address &> m_connected;
    sigc::signal<void, const Address &, TimePoint> m_connectFailed;
};

}

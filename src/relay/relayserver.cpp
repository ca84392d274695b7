#include "relay/relayserver.h"

#include "common/address.h"
#include "upstream/socketend.h"
#include "upstream/upstreamcall.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

namespace cumindyke
{

namespace
{

/// More than the requests of several entry VMs; each tunnel uses two sockets.
constexpr std::size_t MaxTunnels = 512;
constexpr std::size_t MaxRequestBytes = 1024;
/// Bytes waiting for one end, beyond which the other is not read.
constexpr std::size_t MaxUnsentBytes = 256 << 10;
/// An upstream that has not read all of a request may cause a reset within this time after its end.
constexpr Duration EndCheckDelay = std::chrono::milliseconds(20);
constexpr std::string_view EndOfHead = "\r\n\r\n";
constexpr const char *EndsMetric = "cumindyke_relayed_ends_total";
constexpr const char *EndsHelp = "Connections of VMs without a path of their own that were ended, those that were refused included";

/// Returns the target of "CONNECT IP:PORT HTTP/1.1"; none: the request is malformed.
std::optional<Address> targetOf(std::string_view head)
{
    constexpr std::string_view Method = "CONNECT ";
    const std::string_view line = head.substr(0, head.find('\r'));
    const std::size_t end = line.find(' ', Method.size());
    if (!line.starts_with(Method) || end == std::string_view::npos) {
        return {};
    }
    const Result<Address> address = parseAddress(std::string(line.substr(Method.size(), end - Method.size())));
    return ok(address) ? std::optional(valueOf(address)) : std::nullopt;
}

/// Without it an event of a stream would wait until the one before it is acknowledged.
void sendAtOnce(bufferevent *connection)
{
    const int enabled = 1;
    setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

/// Whether closing the connection, also by the end of this process, resets it.
void setResetOnClose(bufferevent *connection, bool reset)
{
    const linger value{.l_onoff = reset ? 1 : 0, .l_linger = 0};
    setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &value, sizeof value);
}

std::string answer(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + (status == StatusConnected ? " OK\r\n" : " Unavailable\r\nConnection: close\r\n") + "\r\n";
}

}

/// A connection of another VM, and the one to the upstream that belongs to it.
class RelayServer::Tunnel : public std::enable_shared_from_this<RelayServer::Tunnel>
{
public:
    Tunnel(RelayServer &server, int socket)
        : m_server(server)
        , m_caller(bufferevent_socket_new(server.m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
        , m_timer(server.m_loop, [this] { onTimeout(); })
    {
        bufferevent_setcb(m_caller, &Tunnel::onRead, &Tunnel::onWritten, &Tunnel::onEvent, this);
        sendAtOnce(m_caller);
        // An answer without a length ends with its connection: only the upstream's own end may look like one.
        setResetOnClose(m_caller, true);
        bufferevent_enable(m_caller, EV_READ | EV_WRITE);
        m_timer.startOnce(server.m_options.connectTimeout);
    }
    ~Tunnel()
    {
        bufferevent_free(m_caller);
        if (m_upstream) {
            bufferevent_free(m_upstream);
        }
    }
    Tunnel(const Tunnel &) = delete;
    Tunnel &operator=(const Tunnel &) = delete;

private:
    enum class Phase {
        ReadingRequest,
        Connecting,
        Open,
        UpstreamEnded, ///< the upstream has ended its connection in order; a reset may still follow
        FlushingEnd, ///< the other VM's connection ends in order as soon as all bytes are written
        Ended, ///< the other VM's connection is reset, unless endInOrder() came first
    };

    static void onRead(bufferevent *from, void *self)
    {
        static_cast<Tunnel *>(self)->read(from);
    }
    static void onWritten(bufferevent *to, void *self)
    {
        static_cast<Tunnel *>(self)->written(to);
    }
    static void onEvent(bufferevent *from, short what, void *self)
    {
        static_cast<Tunnel *>(self)->handleEvent(from, what);
    }

    void read(bufferevent *from);
    void readRequest();
    void connect(const Address &target);
    void written(bufferevent *to);
    void handleEvent(bufferevent *from, short what);
    void onConnected();
    void onConnectFailed(bool hasTimedOut);
    void onTimeout();
    void passOnEnd();
    void refuse(int status);
    void endAfterFlush();
    void endInOrder();
    void end();

    RelayServer &m_server;
    bufferevent *m_caller;
    bufferevent *m_upstream = nullptr;
    Phase m_phase = Phase::ReadingRequest;
    Address m_target;
    TimePoint m_connectStartedAt{};
    bool m_endsInOrder = false;
    TimePoint m_upstreamEndedAt{};
    Timer m_timer;
};

void RelayServer::Tunnel::read(bufferevent *from)
{
    if (m_phase == Phase::ReadingRequest) {
        readRequest();
        return;
    }
    const bool isOpen = m_phase == Phase::Open || (m_phase == Phase::UpstreamEnded && from == m_caller);
    if (!isOpen) {
        return;
    }
    bufferevent *to = from == m_caller ? m_upstream : m_caller;
    bufferevent_write_buffer(to, bufferevent_get_input(from));
    if (evbuffer_get_length(bufferevent_get_output(to)) > MaxUnsentBytes) {
        bufferevent_disable(from, EV_READ);
    }
}

void RelayServer::Tunnel::readRequest()
{
    evbuffer *input = bufferevent_get_input(m_caller);
    const evbuffer_ptr end = evbuffer_search(input, EndOfHead.data(), EndOfHead.size(), nullptr);
    if (end.pos < 0) {
        if (evbuffer_get_length(input) > MaxRequestBytes) {
            refuse(StatusNoRelay);
        }
        return;
    }
    std::string head(static_cast<std::size_t>(end.pos) + EndOfHead.size(), '\0');
    evbuffer_remove(input, head.data(), head.size());
    const std::optional<Address> target = targetOf(head);
    if (!target || m_server.m_path == RelayPath::None || m_server.m_tunnels.size() > MaxTunnels) {
        refuse(StatusNoRelay);
        return;
    }
    connect(*target);
}

void RelayServer::Tunnel::connect(const Address &target)
{
    m_phase = Phase::Connecting;
    m_target = target;
    m_connectStartedAt = EventLoop::now();
    m_timer.startOnce(m_server.m_options.connectTimeout);
    const std::optional<sockaddr_in> address = socketAddress(m_server.m_options.mapAddress ? m_server.m_options.mapAddress(target) : target);
    m_upstream = bufferevent_socket_new(m_server.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_upstream, &Tunnel::onRead, &Tunnel::onWritten, &Tunnel::onEvent, this);
    if (!address || bufferevent_socket_connect(m_upstream, reinterpret_cast<const sockaddr *>(&*address), sizeof *address) != 0) {
        onConnectFailed(false);
    }
}

void RelayServer::Tunnel::handleEvent(bufferevent *from, short what)
{
    const auto self = shared_from_this();
    if (what & BEV_EVENT_CONNECTED) {
        onConnected();
        return;
    }
    if (from == m_upstream && m_phase == Phase::Connecting) {
        onConnectFailed(false);
    } else if (from == m_upstream && m_phase == Phase::Open && (what & BEV_EVENT_EOF)) {
        m_phase = Phase::UpstreamEnded;
        m_upstreamEndedAt = EventLoop::now();
        m_timer.startOnce(EndCheckDelay);
    } else {
        // The other VM has left, so its request is cancelled, or the upstream has reset the connection.
        end();
    }
}

void RelayServer::Tunnel::onConnected()
{
    if (m_phase != Phase::Connecting) {
        return;
    }
    m_phase = Phase::Open;
    m_timer.stop();
    m_server.m_relayed.add();
    sendAtOnce(m_upstream);
    m_server.m_connected.emit(m_target);
    const std::string head = answer(StatusConnected);
    bufferevent_write(m_caller, head.data(), head.size());
    bufferevent_enable(m_upstream, EV_READ | EV_WRITE);
    read(m_caller);
}

void RelayServer::Tunnel::onConnectFailed(bool hasTimedOut)
{
    m_server.m_connectFailed.emit(m_target, m_connectStartedAt);
    // If this VM turns out to have no path itself, the upstream is not to blame.
    const bool isVerdict = m_server.m_path == RelayPath::Whole || (m_server.m_path == RelayPath::Partial && !hasTimedOut);
    refuse(isVerdict ? StatusUpstreamUnreachable : StatusNoRelay);
}

void RelayServer::Tunnel::onTimeout()
{
    const auto self = shared_from_this();
    if (m_phase == Phase::Connecting) {
        onConnectFailed(true);
    } else if (const Duration missing = m_upstreamEndedAt + EndCheckDelay - EventLoop::now(); m_phase == Phase::UpstreamEnded && missing > Duration::zero()) {
        // The loop counts a timer from the beginning of the turn in which it was started.
        m_timer.startOnce(missing);
    } else if (m_phase == Phase::UpstreamEnded) {
        passOnEnd();
    } else {
        end();
    }
}

/// Passes on the upstream's end in order only if no reset has followed: the other VM would take it for the end of an answer.
void RelayServer::Tunnel::passOnEnd()
{
    const bool isIntact = evbuffer_get_length(bufferevent_get_output(m_upstream)) == 0 && hasIntactEnd(bufferevent_getfd(m_upstream));
    if (isIntact) {
        endAfterFlush();
    } else {
        end();
    }
}

void RelayServer::Tunnel::refuse(int status)
{
    const std::string head = answer(status);
    bufferevent_write(m_caller, head.data(), head.size());
    m_timer.startOnce(m_server.m_options.connectTimeout);
    endAfterFlush();
}

void RelayServer::Tunnel::written(bufferevent *to)
{
    if (m_phase == Phase::FlushingEnd && to == m_caller) {
        endInOrder();
    } else if (m_phase == Phase::Open) {
        bufferevent_enable(to == m_caller ? m_upstream : m_caller, EV_READ);
    } else if (m_phase == Phase::UpstreamEnded && to == m_upstream) {
        bufferevent_enable(m_caller, EV_READ);
    }
}

void RelayServer::Tunnel::endAfterFlush()
{
    m_phase = Phase::FlushingEnd;
    if (m_upstream) {
        bufferevent_disable(m_upstream, EV_READ | EV_WRITE);
    }
    if (evbuffer_get_length(bufferevent_get_output(m_caller)) == 0) {
        endInOrder();
    }
}

void RelayServer::Tunnel::endInOrder()
{
    setResetOnClose(m_caller, false);
    m_endsInOrder = true;
    end();
}

/// The loop frees the connections later, so until then no callback may run and nothing may be written.
void RelayServer::Tunnel::end()
{
    m_phase = Phase::Ended;
    m_timer.stop();
    (m_endsInOrder ? m_server.m_endedInOrder : m_server.m_reset).add();
    for (bufferevent *connection : {m_caller, m_upstream}) {
        if (connection) {
            bufferevent_disable(connection, EV_READ | EV_WRITE);
            bufferevent_setcb(connection, nullptr, nullptr, nullptr, nullptr);
        }
    }
    m_server.remove(*this);
}

Result<std::unique_ptr<RelayServer>> RelayServer::listen(EventLoop &loop, RelayServerOptions options, Metrics &metrics)
{
    std::unique_ptr<RelayServer> server(new RelayServer(loop, std::move(options), metrics));
    const std::optional<sockaddr_in> address = socketAddress(server->m_options.address);
    if (address) {
        server->m_listener = evconnlistener_new_bind(loop.base(),
                                                     &RelayServer::onAccepted,
                                                     server.get(),
                                                     LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                                     -1,
                                                     reinterpret_cast<const sockaddr *>(&*address),
                                                     sizeof *address);
    }
    if (!server->m_listener) {
        return Error{ErrorKind::Unavailable,
                     "the address " + toString(server->m_options.address)
                         + " can't be bound: check that it is this VM's IPv4 address and that the port is not in use"};
    }
    return server;
}

RelayServer::RelayServer(EventLoop &loop, RelayServerOptions options, Metrics &metrics)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_relayed(metrics.counter("cumindyke_relayed_connections_total", "Connections to upstreams that were opened for VMs without a path of their own"))
    , m_endedInOrder(metrics.counter(EndsMetric, EndsHelp, {{"end", "in-order"}}))
    , m_reset(metrics.counter(EndsMetric, EndsHelp, {{"end", "reset"}}))
{
}

RelayServer::~RelayServer()
{
    if (m_listener) {
        evconnlistener_free(m_listener);
    }
}

void RelayServer::onAccepted(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/, int /*length*/, void *self)
{
    auto *server = static_cast<RelayServer *>(self);
    server->m_tunnels.push_back(std::make_shared<Tunnel>(*server, socket));
}

void RelayServer::remove(Tunnel &tunnel)
{
    for (auto held = m_tunnels.begin(); held != m_tunnels.end(); ++held) {
        if (held->get() == &tunnel) {
            // libevent may still be in one of its callbacks.
            m_loop.releaseLater(*held);
            m_tunnels.erase(held);
            return;
        }
    }
}

}

// A network between two processes on loopback, as a process of its own:
//
//     linkproxy SEED LISTEN TARGET [LISTEN TARGET]...      (addresses are HOST:PORT)
//
// Passes connections to LISTEN on to TARGET, and does to each what a link does, by a schedule from the seed: bytes, ends and resets arrive late by a fixed,
// varying or growing time, by retransmissions, or not at all; in their order within a connection and in any other across connections. What is under
// way is delivered after the target's process has ended. Some connections are reset in between, and now and then LISTEN refuses connections.
//
// A connection to the target is opened as soon as one is accepted: its opener takes it for open, and a later one could be a successor's.

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <linux/sockios.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds RetransmissionTime{200};
constexpr int MaxRetransmissions = 3;
constexpr int ListenBacklog = 512;
constexpr Milliseconds MaxGrowth{300};
constexpr std::size_t SegmentBytes = 16 << 10;
/// A sender that is this far ahead of the link waits.
constexpr std::size_t MaxUnderWayBytes = 128 << 10;

class Randomness
{
public:
    explicit Randomness(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    /// A number from 0 to the limit.
    std::int64_t upTo(std::int64_t limit)
    {
        return std::uniform_int_distribution<std::int64_t>(0, limit)(m_engine);
    }
    bool happens(int permille)
    {
        return upTo(999) < permille;
    }

private:
    std::mt19937_64 m_engine;
};

/// What a link does to one direction of a connection.
struct Manner
{
    Milliseconds delay{};
    Milliseconds jitter{};
    Milliseconds growth{};
    int lossPermille = 0;
    int endLossPermille = 0;
    /// 0: no limit.
    std::int64_t bytesPerMs = 0;
    /// From this segment on, nothing arrives any more (-1: never), or it does after the outage.
    int outageAt = -1;
    /// Zero: for ever.
    Milliseconds outage{};
};

Manner chooseManner(Randomness &random)
{
    Manner manner;
    manner.delay = Milliseconds(random.happens(200) ? random.upTo(60) : random.upTo(3));
    manner.jitter = Milliseconds(random.happens(250) ? random.upTo(40) : 0);
    manner.growth = Milliseconds(random.happens(100) ? random.upTo(10) : 0);
    manner.lossPermille = random.happens(300) ? 30 : 0;
    manner.endLossPermille = 250;
    manner.bytesPerMs = random.happens(100) ? 32 + random.upTo(480) : 0;
    if (random.happens(20)) {
        manner.outageAt = static_cast<int>(random.upTo(8));
        manner.outage = Milliseconds(random.happens(700) ? 300 + random.upTo(2500) : 0);
    }
    return manner;
}

enum class Kind { Bytes, End, Reset };

/// Something that is under way to one side.
struct Item
{
    Kind kind = Kind::Bytes;
    Clock::time_point due;
    std::string bytes;
};

/// The items under way in one direction, in order.
class Direction
{
public:
    explicit Direction(Randomness &random)
        : m_random(random)
        , m_manner(chooseManner(random))
    {
    }

    void add(Kind kind, std::string bytes = {})
    {
        if (m_manner.outageAt >= 0 && m_count >= m_manner.outageAt && m_manner.outage == Milliseconds::zero()) {
            return;
        }
        m_lastDue = std::max(m_lastDue, Clock::now() + latencyOf(kind));
        if (m_manner.bytesPerMs > 0) {
            m_lastDue += Milliseconds(static_cast<std::int64_t>(bytes.size()) / m_manner.bytesPerMs);
        }
        m_hasEnd = m_hasEnd || kind != Kind::Bytes;
        ++m_count;
        m_underWayBytes += bytes.size();
        m_items.push_back({.kind = kind, .due = m_lastDue, .bytes = std::move(bytes)});
    }
    std::deque<Item> &items()
    {
        return m_items;
    }
    /// Takes all bytes at the front that have arrived.
    std::string takeArrived()
    {
        std::string arrived;
        while (!m_items.empty() && m_items.front().kind == Kind::Bytes && m_items.front().due <= Clock::now()) {
            arrived += m_items.front().bytes;
            m_items.pop_front();
        }
        m_underWayBytes -= arrived.size();
        return arrived;
    }
    void clear()
    {
        m_items.clear();
        m_underWayBytes = 0;
    }
    void putBack(std::string bytes)
    {
        m_underWayBytes += bytes.size();
        m_items.push_front({.kind = Kind::Bytes, .due = Clock::now(), .bytes = std::move(bytes)});
    }
    bool hasBytes() const
    {
        return m_underWayBytes > 0;
    }
    bool isFull() const
    {
        return m_underWayBytes >= MaxUnderWayBytes;
    }

private:
    /// Order is kept, so what follows an item that is late is late too. A reset that follows an end takes no longer than the end: it is not sent again when
    /// it is lost, and then nobody could know of it.
    Milliseconds latencyOf(Kind kind)
    {
        Milliseconds latency = m_manner.delay;
        if (kind == Kind::Reset && m_hasEnd) {
            return latency;
        }
        latency += Milliseconds(m_random.upTo(m_manner.jitter.count())) + std::min(m_manner.growth * m_count, MaxGrowth);
        const int lossPermille = kind == Kind::Bytes ? m_manner.lossPermille : m_manner.endLossPermille;
        for (int sent = 0; sent < MaxRetransmissions && m_random.happens(lossPermille); ++sent) {
            latency += RetransmissionTime * (1 << sent);
        }
        return m_count == m_manner.outageAt ? latency + m_manner.outage : latency;
    }

    Randomness &m_random;
    const Manner m_manner;
    std::deque<Item> m_items;
    Clock::time_point m_lastDue;
    std::size_t m_underWayBytes = 0;
    int m_count = 0;
    bool m_hasEnd = false;
};

class Connection;
using Connections = std::map<const Connection *, std::unique_ptr<Connection>>;

/// A connection of a caller, and its continuation to the target.
class Connection
{
public:
    Connection(event_base *base, Randomness &random, int caller, int target, Connections &all)
        : m_all(all)
        , m_caller{.socket = caller, .incoming = Direction(random)}
        , m_target{.socket = target, .incoming = Direction(random)}
        , m_resetAt(random.happens(10) ? static_cast<int>(random.upTo(12)) : -1)
    {
        for (Side *side : {&m_caller, &m_target}) {
            const int on = 1;
            setsockopt(side->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            side->ready = event_new(base, side->socket, EV_READ | EV_WRITE | EV_ET | EV_PERSIST, &Connection::onEvent, this);
            event_add(side->ready, nullptr);
        }
        m_timer = evtimer_new(base, &Connection::onEvent, this);
    }
    ~Connection()
    {
        for (Side *side : {&m_caller, &m_target}) {
            closeSide(*side);
        }
        event_free(m_timer);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

private:
    struct Side
    {
        int socket;
        /// What comes from this side.
        Direction incoming;
        event *ready = nullptr;
        /// It has sent its end, or it is closed.
        bool hasEnded = false;
    };

    static void onEvent(evutil_socket_t /*socket*/, short /*what*/, void *self)
    {
        auto *connection = static_cast<Connection *>(self);
        connection->work();
    }

    /// Destroys the connection when nothing can come any more.
    void work()
    {
        for (const auto &[from, to] : {std::pair(&m_caller, &m_target), std::pair(&m_target, &m_caller)}) {
            // What is delivered makes room for more.
            deliver(*from, *to);
            receive(*from);
            deliver(*from, *to);
        }
        const bool isOver = m_caller.hasEnded && m_target.hasEnded && m_caller.incoming.items().empty() && m_target.incoming.items().empty();
        if (isOver || (m_caller.socket < 0 && m_target.socket < 0)) {
            m_all.erase(this);
            return;
        }
        startTimer();
    }
    void startTimer()
    {
        Clock::time_point next = Clock::time_point::max();
        for (Side *side : {&m_caller, &m_target}) {
            // What is due already waits until its receiver's socket is writable.
            if (!side->incoming.items().empty() && side->incoming.items().front().due > Clock::now()) {
                next = std::min(next, side->incoming.items().front().due);
            }
        }
        if (next == Clock::time_point::max()) {
            return;
        }
        const auto left = std::chrono::duration_cast<std::chrono::microseconds>(next - Clock::now()).count() + 1;
        const timeval timeout{.tv_sec = left / 1'000'000, .tv_usec = std::max<long>(left % 1'000'000, 0)};
        evtimer_add(m_timer, &timeout);
    }
    void receive(Side &from)
    {
        while (from.socket >= 0 && !from.hasEnded && !from.incoming.isFull()) {
            std::array<char, SegmentBytes> buffer{};
            const ssize_t got = recv(from.socket, buffer.data(), buffer.size(), 0);
            if (got > 0) {
                from.incoming.add(Kind::Bytes, std::string(buffer.data(), static_cast<std::size_t>(got)));
                resetBoth();
            } else if (got == 0) {
                from.hasEnded = true;
                from.incoming.add(Kind::End);
            } else if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
                break;
            } else {
                addReset(from);
            }
        }
        if (from.socket >= 0 && from.hasEnded && hasError(from)) {
            addReset(from);
        }
    }
    /// A reset that follows an end is reported by nothing else.
    static bool hasError(const Side &side)
    {
        int error = 0;
        socklen_t length = sizeof error;
        return getsockopt(side.socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0;
    }
    void resetBoth()
    {
        if (m_resetAt >= 0 && m_resetAt-- == 0) {
            for (Side *side : {&m_caller, &m_target}) {
                side->incoming.add(Kind::Reset);
            }
        }
    }
    void addReset(Side &from)
    {
        closeSide(from);
        from.hasEnded = true;
        from.incoming.add(Kind::Reset);
    }
    void deliver(Side &from, Side &to)
    {
        Direction &direction = from.incoming;
        std::deque<Item> &items = direction.items();
        while (!items.empty() && items.front().due <= Clock::now()) {
            if (to.socket < 0) {
                direction.clear();
                return;
            }
            if (const Kind kind = items.front().kind; kind != Kind::Bytes) {
                items.pop_front();
                if (kind == Kind::Reset || isCutShort(from, to)) {
                    resetSide(to);
                } else {
                    shutdown(to.socket, SHUT_WR);
                }
                continue;
            }
            std::string bytes = direction.takeArrived();
            const ssize_t sent = send(to.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
                addReset(to);
            } else if (sent < static_cast<ssize_t>(bytes.size())) {
                bytes.erase(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
                direction.putBack(std::move(bytes));
                return;
            }
        }
    }
    /// Whether bytes of the caller have not reached a target that has sent its end. They would be unacknowledged at the caller, which this proxy, having
    /// taken them, shows by a reset.
    bool isCutShort(const Side &from, const Side &to) const
    {
        int unacknowledged = 0;
        int unread = 0;
        return &from == &m_target
            && (from.socket < 0 || to.incoming.hasBytes() || ioctl(from.socket, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged > 0
                || ioctl(to.socket, FIONREAD, &unread) != 0 || unread > 0);
    }
    void resetSide(Side &side)
    {
        const linger discard{.l_onoff = 1, .l_linger = 0};
        setsockopt(side.socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        closeSide(side);
        side.hasEnded = true;
    }
    static void closeSide(Side &side)
    {
        if (side.socket >= 0) {
            event_free(side.ready);
            close(side.socket);
            side.socket = -1;
        }
    }

    Connections &m_all;
    Side m_caller;
    Side m_target;
    event *m_timer = nullptr;
    /// The number of segments after which the link resets the connection; -1: it doesn't.
    int m_resetAt;
};

/// Listens at an address, but for short times in which connections are refused.
class Link
{
public:
    Link(event_base *base, std::uint64_t seed, const sockaddr_in &address, const sockaddr_in &target)
        : m_base(base)
        , m_random(seed)
        , m_address(address)
        , m_target(target)
        , m_timer(evtimer_new(base, &Link::onTimer, this))
    {
        listen();
    }
    ~Link()
    {
        m_connections.clear();
        event_free(m_timer);
        if (m_listener) {
            evconnlistener_free(m_listener);
        }
    }
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    bool isListening() const
    {
        return m_listener != nullptr;
    }

private:
    void listen()
    {
        m_listener = evconnlistener_new_bind(m_base,
                                             &Link::onAccepted,
                                             this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                             ListenBacklog,
                                             reinterpret_cast<const sockaddr *>(&m_address),
                                             sizeof m_address);
        startTimer(Milliseconds(1000 + m_random.upTo(7000)));
    }
    void startTimer(Milliseconds time)
    {
        const timeval timeout{.tv_sec = time.count() / 1000, .tv_usec = time.count() % 1000 * 1000};
        evtimer_add(m_timer, &timeout);
    }
    static void onTimer(evutil_socket_t /*socket*/, short /*what*/, void *self)
    {
        auto *link = static_cast<Link *>(self);
        if (!link->m_listener) {
            link->listen();
            return;
        }
        evconnlistener_free(link->m_listener);
        link->m_listener = nullptr;
        link->startTimer(Milliseconds(50 + link->m_random.upTo(350)));
    }
    static void onAccepted(evconnlistener * /*listener*/, evutil_socket_t caller, sockaddr * /*from*/, int /*length*/, void *self)
    {
        auto *link = static_cast<Link *>(self);
        const int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        // A refusal is reported as the connection's error.
        if (connect(target, reinterpret_cast<const sockaddr *>(&link->m_target), sizeof link->m_target) != 0 && errno != EINPROGRESS) {
            std::perror("linkproxy");
        }
        auto connection = std::make_unique<Connection>(link->m_base, link->m_random, caller, target, link->m_connections);
        link->m_connections.emplace(connection.get(), std::move(connection));
    }

    event_base *m_base;
    Randomness m_random;
    const sockaddr_in m_address;
    const sockaddr_in m_target;
    Connections m_connections;
    evconnlistener *m_listener = nullptr;
    event *m_timer;
};

sockaddr_in parseAddress(const std::string &text)
{
    sockaddr_in address{};
    int length = sizeof address;
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        std::fprintf(stderr, "linkproxy: no address: %s\n", text.c_str());
        std::exit(2);
    }
    return address;
}

}

int main(int argc, char **argv)
{
    if (argc < 4 || argc % 2 != 0) {
        std::fputs("usage: linkproxy SEED LISTEN TARGET [LISTEN TARGET]...\n", stderr);
        return 2;
    }
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    event_base *base = event_base_new();
    std::vector<std::unique_ptr<Link>> links;
    for (int at = 2; at < argc; at += 2) {
        const std::uint64_t seed = std::strtoull(argv[1], nullptr, 10) + static_cast<std::uint64_t>(at);
        links.push_back(std::make_unique<Link>(base, seed, parseAddress(argv[at]), parseAddress(argv[at + 1])));
        if (!links.back()->isListening()) {
            std::perror("linkproxy");
            return 1;
        }
    }
    return event_base_dispatch(base);
}

#include "fakeplatform/rawupstream.h"

#include "common/address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <netinet/in.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace cumindyke::test
{

namespace
{

/// Lets the other end read the answer before its connection ends.
constexpr Duration TimeBeforeEnd = std::chrono::milliseconds(30);
/// Longer than the other end takes to find out that the address refuses connections.
constexpr Duration TimeWithoutListening = std::chrono::milliseconds(300);
constexpr std::string_view EndOfHead = "\r\n\r\n";

std::string headerOf(const std::string &head, const std::string &name)
{
    const std::size_t begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

}

class RawUpstream::Connection
{
public:
    Connection(RawUpstream &upstream, int socket)
        : m_upstream(upstream)
        , m_connection(bufferevent_socket_new(upstream.m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
        , m_timer(upstream.m_loop, [this] { end(); })
    {
        bufferevent_setcb(m_connection, &Connection::onRead, nullptr, &Connection::onEvent, this);
        bufferevent_enable(m_connection, EV_READ | EV_WRITE);
    }
    ~Connection()
    {
        close();
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void close()
    {
        if (m_connection) {
            bufferevent_free(m_connection);
            m_connection = nullptr;
        }
    }

private:
    static void onRead(bufferevent * /*connection*/, void *self)
    {
        static_cast<Connection *>(self)->read();
    }
    static void onEvent(bufferevent * /*connection*/, short /*what*/, void *self)
    {
        static_cast<Connection *>(self)->m_timer.startOnce(Duration::zero());
    }

    /// Answers when the request is complete.
    void read()
    {
        evbuffer *input = bufferevent_get_input(m_connection);
        const std::string request(reinterpret_cast<const char *>(evbuffer_pullup(input, -1)), evbuffer_get_length(input));
        const std::size_t headLength = request.find(EndOfHead);
        if (headLength == std::string::npos) {
            return;
        }
        const std::string head = request.substr(0, headLength + 2);
        const std::string bodyLength = headerOf(head, "Content-Length");
        m_answer = m_upstream.answerTo(head);
        if (!m_answer.isEarly && request.size() < headLength + EndOfHead.size() + (bodyLength.empty() ? 0 : std::stoul(bodyLength))) {
            return;
        }
        if (m_answer.isEarly) {
            bufferevent_disable(m_connection, EV_READ);
        }
        evbuffer_drain(input, request.size());
        if (m_answer.end == End::StoppedListening) {
            m_upstream.refuseConnections();
        }
        m_id = headerOf(head, "Cumindyke-Request-Id");
        const std::string whole = m_answer.statusLine + "\r\nContent-Type: " + m_answer.contentType + "\r\nCumindyke-Request-Id: " + m_id
            + "\r\nCumindyke-Runner-Seal: seal\r\n" + m_answer.moreHeaders + "\r\n" + m_answer.body;
        const std::string &answer = m_answer.raw.empty() ? whole : m_answer.raw;
        bufferevent_write(m_connection, answer.data(), answer.size());
        if (!m_answer.endless.empty()) {
            bufferevent_setcb(m_connection, &Connection::onRead, &Connection::onWritten, &Connection::onEvent, this);
        } else if (m_answer.end != End::Never) {
            m_timer.startOnce(m_answer.end == End::StoppedListening ? TimeWithoutListening : TimeBeforeEnd);
        }
    }

    static void onWritten(bufferevent * /*connection*/, void *self)
    {
        auto *connection = static_cast<Connection *>(self);
        bufferevent_write(connection->m_connection, connection->m_answer.endless.data(), connection->m_answer.endless.size());
    }

    void end()
    {
        if (!m_connection) {
            return;
        }
        if (const std::string late = std::exchange(m_answer.late, {}); !late.empty()) {
            const std::size_t id = late.find("ID");
            const std::string bytes = id == std::string::npos ? late : late.substr(0, id) + m_id + late.substr(id + 2);
            bufferevent_write(m_connection, bytes.data(), bytes.size());
            m_timer.startOnce(TimeBeforeEnd);
            return;
        }
        if (m_answer.end == End::ClosedThenReset) {
            shutdown(bufferevent_getfd(m_connection), SHUT_WR);
            m_answer.end = End::Reset;
            m_timer.startOnce(TimeBeforeReset);
            return;
        }
        if (m_answer.end == End::Reset) {
            const linger discard{.l_onoff = 1, .l_linger = 0};
            setsockopt(bufferevent_getfd(m_connection), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        }
        if (m_answer.end == End::ProcessEnded) {
            m_upstream.endProcess();
        }
        close();
    }

    RawUpstream &m_upstream;
    bufferevent *m_connection;
    Answer m_answer;
    std::string m_id;
    Timer m_timer;
};

RawUpstream::RawUpstream(const std::string &host)
    : m_address{.host = host, .port = 0}
{
    const std::optional<sockaddr_in> address = socketAddress(m_address);
    m_listener = evconnlistener_new_bind(m_loop.base(),
                                         &RawUpstream::onAccepted,
                                         this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                         -1,
                                         reinterpret_cast<const sockaddr *>(&*address),
                                         sizeof *address);
    if (!m_listener) {
        throw std::runtime_error("the address " + host + " can't be bound");
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound), &length);
    m_address.port = ntohs(bound.sin_port);
    m_thread = std::thread([this] { m_loop.run(); });
}

RawUpstream::~RawUpstream()
{
    m_loop.stop();
    m_thread.join();
    m_connections.clear();
    refuseConnections();
}

void RawUpstream::refuseConnections()
{
    if (m_listener) {
        evconnlistener_free(m_listener);
        m_listener = nullptr;
    }
}

/// Closes all sockets, as the kernel does when a process ends.
void RawUpstream::endProcess()
{
    refuseConnections();
    for (const std::unique_ptr<Connection> &connection : m_connections) {
        connection->close();
    }
}

void RawUpstream::setAnswer(const Answer &answer)
{
    setAnswers([answer](const std::string & /*head*/) { return answer; });
}

void RawUpstream::setAnswers(std::function<Answer(const std::string &head)> choose)
{
    const std::lock_guard lock(m_mutex);
    m_choose = std::move(choose);
}

RawUpstream::Answer RawUpstream::answerTo(const std::string &head) const
{
    const std::lock_guard lock(m_mutex);
    return m_choose ? m_choose(head) : Answer{};
}

void RawUpstream::onAccepted(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/, int /*length*/, void *self)
{
    auto *upstream = static_cast<RawUpstream *>(self);
    upstream->m_connections.push_back(std::make_unique<Connection>(*upstream, socket));
}

}

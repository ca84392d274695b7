#include "support/link.h"

#include "common/eventloop.h"
#include "common/mailbox.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <catch2/catch.hpp>

#include <arpa/inet.h>

#include <list>
#include <thread>
#include <variant>

namespace cumindyke::test
{

namespace
{

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &socketAddress.sin_addr);
    return socketAddress;
}

struct StallOpenConnections
{
};

using LinkMessage = std::variant<Link::Mode, StallOpenConnections>;

}

class Link::Private
{
public:
    Private(const Address &listen, Address target)
        : m_target(std::move(target))
        , m_mailbox(m_loop, [this](LinkMessage &&message) { handleMessage(message); })
    {
        const sockaddr_in address = toSocketAddress(listen);
        m_listener = evconnlistener_new_bind(m_loop.base(),
                                             &Private::onAccepted,
                                             this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                             -1,
                                             reinterpret_cast<const sockaddr *>(&address),
                                             sizeof address);
        REQUIRE(m_listener);
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~Private()
    {
        m_loop.stop();
        m_thread.join();
        evconnlistener_free(m_listener);
        for (const RelayedConnection &connection : m_connections) {
            bufferevent_free(connection.caller);
            bufferevent_free(connection.target);
        }
    }
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void post(LinkMessage message)
    {
        m_mailbox.post(message);
    }

private:
    /// A relayed connection: its two ends, and whether its bytes are discarded from now on.
    struct RelayedConnection
    {
        bufferevent *caller = nullptr;
        bufferevent *target = nullptr;
        Private *link = nullptr;
        bool stalled = false;
    };

    void handleMessage(const LinkMessage &message)
    {
        if (const auto *mode = std::get_if<Mode>(&message)) {
            m_mode = *mode;
        } else {
            for (RelayedConnection &connection : m_connections) {
                connection.stalled = true;
            }
        }
        for (RelayedConnection &connection : m_connections) {
            updateReading(connection);
            forwardOrDrop(connection, connection.caller);
            forwardOrDrop(connection, connection.target);
        }
    }

    void updateReading(RelayedConnection &connection) const
    {
        for (bufferevent *end : {connection.caller, connection.target}) {
            m_mode == Mode::Hang ? bufferevent_disable(end, EV_READ) : bufferevent_enable(end, EV_READ);
        }
    }

    void forwardOrDrop(RelayedConnection &connection, bufferevent *from) const
    {
        bufferevent *to = from == connection.caller ? connection.target : connection.caller;
        evbuffer *bytes = bufferevent_get_input(from);
        const bool dropped = connection.stalled || m_mode == Mode::Drop || (m_mode == Mode::DropAnswers && from == connection.target);
        if (dropped) {
            evbuffer_drain(bytes, evbuffer_get_length(bytes));
        } else if (m_mode != Mode::Hang) {
            bufferevent_write_buffer(to, bytes);
        }
    }

    static void onAccepted(evconnlistener * /*listener*/, evutil_socket_t socket, sockaddr * /*address*/, int /*length*/, void *self)
    {
        auto *link = static_cast<Private *>(self);
        RelayedConnection &connection = link->m_connections.emplace_back();
        connection.link = link;
        connection.caller = bufferevent_socket_new(link->m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        connection.target = bufferevent_socket_new(link->m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        for (bufferevent *end : {connection.caller, connection.target}) {
            bufferevent_setcb(end, &Private::onReadable, nullptr, &Private::onClosed, &connection);
        }
        const sockaddr_in target = toSocketAddress(link->m_target);
        bufferevent_socket_connect(connection.target, reinterpret_cast<const sockaddr *>(&target), sizeof target);
        link->updateReading(connection);
        bufferevent_enable(connection.caller, EV_WRITE);
        bufferevent_enable(connection.target, EV_WRITE);
    }

    static void onReadable(bufferevent *end, void *context)
    {
        auto *connection = static_cast<RelayedConnection *>(context);
        connection->link->forwardOrDrop(*connection, end);
    }

    /// Closes the other end as well when one end has closed, unless a fault is simulated: then the other end must not notice.
    static void onClosed(bufferevent * /*end*/, short what, void *context)
    {
        auto *connection = static_cast<RelayedConnection *>(context);
        if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) || connection->stalled || connection->link->m_mode != Mode::Forward) {
            return;
        }
        bufferevent_free(connection->caller);
        bufferevent_free(connection->target);
        connection->link->m_connections.remove_if([connection](const RelayedConnection &other) { return &other == connection; });
    }

    const Address m_target;
    EventLoop m_loop;
    Mailbox<LinkMessage> m_mailbox;
    evconnlistener *m_listener = nullptr;
    Mode m_mode = Mode::Forward;
    std::list<RelayedConnection> m_connections;
    std::thread m_thread;
};

Link::Link(const Address &listen, const Address &target)
    : d(std::make_unique<Private>(listen, target))
{
}

Link::~Link() = default;

void Link::setMode(Mode mode)
{
    d->post(mode);
}

void Link::stallOpenConnections()
{
    d->post(StallOpenConnections{});
}

}

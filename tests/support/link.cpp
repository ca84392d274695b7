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

struct Silence
{
};

using LinkMessage = std::variant<Link::Mode, Silence>;

}

class Link::Private
{
public:
    Private(const Address &listen, Address target)
        : m_target(std::move(target))
        , m_mailbox(m_loop, [this](LinkMessage &&message) { handle(message); })
    {
        const sockaddr_in address = toSocketAddress(listen);
        m_listener = evconnlistener_new_bind(m_loop.base(),
                                             &Private::accepted,
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
        for (const Pair &pair : m_pairs) {
            bufferevent_free(pair.caller);
            bufferevent_free(pair.target);
        }
    }
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void post(LinkMessage message)
    {
        m_mailbox.post(message);
    }

private:
    /// One connection: its two ends, and whether it was silenced for good.
    struct Pair
    {
        bufferevent *caller = nullptr;
        bufferevent *target = nullptr;
        Private *link = nullptr;
        bool silenced = false;
    };

    void handle(const LinkMessage &message)
    {
        if (const auto *mode = std::get_if<Mode>(&message)) {
            m_mode = *mode;
        } else {
            for (Pair &pair : m_pairs) {
                pair.silenced = true;
            }
        }
        for (Pair &pair : m_pairs) {
            setReading(pair);
            transfer(pair, pair.caller);
            transfer(pair, pair.target);
        }
    }

    void setReading(Pair &pair) const
    {
        for (bufferevent *end : {pair.caller, pair.target}) {
            m_mode == Mode::Hang ? bufferevent_disable(end, EV_READ) : bufferevent_enable(end, EV_READ);
        }
    }

    void transfer(Pair &pair, bufferevent *from) const
    {
        bufferevent *to = from == pair.caller ? pair.target : pair.caller;
        evbuffer *bytes = bufferevent_get_input(from);
        const bool dropped = pair.silenced || m_mode == Mode::Drop || (m_mode == Mode::DropAnswers && from == pair.target);
        if (dropped) {
            evbuffer_drain(bytes, evbuffer_get_length(bytes));
        } else if (m_mode != Mode::Hang) {
            bufferevent_write_buffer(to, bytes);
        }
    }

    static void accepted(evconnlistener * /*listener*/, evutil_socket_t socket, sockaddr * /*address*/, int /*length*/, void *self)
    {
        auto *link = static_cast<Private *>(self);
        Pair &pair = link->m_pairs.emplace_back();
        pair.link = link;
        pair.caller = bufferevent_socket_new(link->m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        pair.target = bufferevent_socket_new(link->m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        for (bufferevent *end : {pair.caller, pair.target}) {
            bufferevent_setcb(end, &Private::readable, nullptr, &Private::ended, &pair);
        }
        const sockaddr_in target = toSocketAddress(link->m_target);
        bufferevent_socket_connect(pair.target, reinterpret_cast<const sockaddr *>(&target), sizeof target);
        link->setReading(pair);
        bufferevent_enable(pair.caller, EV_WRITE);
        bufferevent_enable(pair.target, EV_WRITE);
    }

    static void readable(bufferevent *end, void *context)
    {
        auto *pair = static_cast<Pair *>(context);
        pair->link->transfer(*pair, end);
    }

    /// An end that closed: the other is closed too, unless the link is to be silent, when the other must not notice.
    static void ended(bufferevent * /*end*/, short what, void *context)
    {
        auto *pair = static_cast<Pair *>(context);
        if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) || pair->silenced || pair->link->m_mode != Mode::Forward) {
            return;
        }
        bufferevent_free(pair->caller);
        bufferevent_free(pair->target);
        pair->link->m_pairs.remove_if([pair](const Pair &other) { return &other == pair; });
    }

    const Address m_target;
    EventLoop m_loop;
    Mailbox<LinkMessage> m_mailbox;
    evconnlistener *m_listener = nullptr;
    Mode m_mode = Mode::Forward;
    std::list<Pair> m_pairs;
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
    d->post(Silence{});
}

}

#pragma once

#include "entry/callerbuffers.h"

#include <functional>
#include <memory>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace cumindyke
{

class Exchange;

/// Counts the bytes that are held for one caller's connection, from its first byte until it is closed. Used in the event loop only.
class CallerConnection
{
public:
    /// All counts are 0: nothing is held, or the connection was closed.
    using Changed = std::function<void(CallerId, const CallerBuffers &)>;
    using Closed = std::function<void(CallerConnection &)>;

    CallerConnection(CallerId id, bufferevent *buffers, Changed changed, Closed closed);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    CallerId id() const
    {
        return m_id;
    }
    evbuffer *input() const
    {
        return m_input;
    }
    /// Null if no complete request waits for the end of its answer.
    std::shared_ptr<Exchange> exchange() const
    {
        return m_exchange.lock();
    }

    /// Bytes were appended to the input.
    void recordInput(const evbuffer_cb_info &info);
    /// A complete request was received; "next" is what has been received of the next one.
    void beginExchange(const std::shared_ptr<Exchange> &exchange, evbuffer *next);
    /// The answer is complete; a part of it may be unread. Takes the connection's close callback back from the exchange.
    void endExchange();
    void setHeldAnswer(std::size_t bytes);
    void handleClosed();

    /// Answers a request that is being received with 503 and closes the connection.
    void refuseRequest();
    /// Resets the connection, so that a partial answer can't be taken for a complete one. Only while there is no exchange; destroys this object unless the
    /// caller holds a reference.
    void reset();

private:
    static void onOutput(evbuffer *output, const evbuffer_cb_info *info, void *self);
    static void onClosed(evhttp_connection *connection, void *self);
    void scanHeader(evbuffer *received, std::size_t offset, std::size_t length);
    void beginRequest(evbuffer *received);
    void notify();

    const CallerId m_id;
    bufferevent *m_buffers;
    evbuffer *m_input;
    evhttp_connection *m_connection;
    Changed m_changed;
    Closed m_closed;
    bool m_isOpen = true;
    std::weak_ptr<Exchange> m_exchange;
    bool m_inHeader = true;
    std::size_t m_lineLength = 0;
    /// Of the request that is being received.
    std::size_t m_receivedHeader = 0;
    std::size_t m_receivedBody = 0;
    /// Of the request that is being answered. libevent keeps the header until the caller has read the answer.
    std::size_t m_heldHeader = 0;
    std::size_t m_heldBody = 0;
    std::size_t m_heldAnswer = 0;
    std::size_t m_unread = 0;
    CallerBuffers m_notified;
};

/// Discards what was not sent yet and resets the connection, but keeps the descriptor.
void resetSocket(int socket);

}

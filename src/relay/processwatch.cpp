#include "relay/processwatch.h"

#include "common/address.h"
#include "relay/relayserver.h"
#include "upstream/upstreamcall.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <utility>

namespace cumindyke
{

namespace
{

/// The end of an answer's connection is seen this much later than it happens: a loop's turn, and for a relay the time for which it waits for a reset.
/// A connection that is opened within this time before the end may belong to a successor.
constexpr Duration SettleTime = std::chrono::milliseconds(1);
constexpr Duration RelaySettleTime = std::chrono::milliseconds(25);
/// Bounds the attempts to connect to an upstream that does not answer.
constexpr Duration MaxReopenDelay = std::chrono::seconds(1);
constexpr std::size_t MaxRelayAnswerBytes = 4096;
constexpr std::string_view EndOfHead = "\r\n\r\n";

}

const char *toString(AnswerEndProof proof)
{
    switch (proof) {
    case AnswerEndProof::Held:
        return "held";
    case AnswerEndProof::HeldLate:
        return "held-late";
    case AnswerEndProof::Refused:
        return "refused";
    case AnswerEndProof::Closed:
        return "closed";
    case AnswerEndProof::NoAnswer:
        return "no-answer";
    }
    return "";
}

ProcessWatch::ProcessWatch(EventLoop &loop, const Address &upstream, const std::optional<Address> &relay)
    : m_loop(loop)
    , m_upstream(upstream)
    , m_relay(relay)
    , m_timer(loop, [this] { onTimer(); })
{
    connect();
}

ProcessWatch::~ProcessWatch()
{
    disconnect();
}

void ProcessWatch::connect()
{
    m_phase = Phase::Connecting;
    m_connection = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_connection, &ProcessWatch::onRead, nullptr, &ProcessWatch::onEvent, this);
    bufferevent_enable(m_connection, EV_READ | EV_WRITE);
    const std::optional<sockaddr_in> address = socketAddress(m_relay.value_or(m_upstream));
    if (!address || bufferevent_socket_connect(m_connection, reinterpret_cast<const sockaddr *>(&*address), sizeof *address) != 0) {
        onEnd(AnswerEndProof::NoAnswer);
    }
}

void ProcessWatch::disconnect()
{
    if (m_connection) {
        bufferevent_free(std::exchange(m_connection, nullptr));
    }
}

void ProcessWatch::onRead(bufferevent *connection, void *self)
{
    auto *watch = static_cast<ProcessWatch *>(self);
    evbuffer *input = bufferevent_get_input(connection);
    if (watch->m_relay && watch->m_phase == Phase::Connecting) {
        watch->readRelayAnswer();
    } else {
        // Nothing was asked for.
        evbuffer_drain(input, evbuffer_get_length(input));
    }
}

void ProcessWatch::onEvent(bufferevent *connection, short what, void *self)
{
    auto *watch = static_cast<ProcessWatch *>(self);
    if ((what & BEV_EVENT_CONNECTED) == 0) {
        const bool isRefused = (what & BEV_EVENT_ERROR) != 0 && EVUTIL_SOCKET_ERROR() == ECONNREFUSED && !watch->m_relay;
        const AnswerEndProof failure = isRefused ? AnswerEndProof::Refused : AnswerEndProof::NoAnswer;
        watch->onEnd(watch->m_phase == Phase::Open ? AnswerEndProof::Closed : failure);
    } else if (watch->m_relay) {
        const std::string target = toString(watch->m_upstream);
        const std::string request = "CONNECT " + target + " HTTP/1.1\r\nHost: " + target + "\r\n\r\n";
        bufferevent_write(connection, request.data(), request.size());
    } else {
        watch->onOpen();
    }
}

/// From the relay's answer on, the connection ends with the one that the relay has opened.
void ProcessWatch::readRelayAnswer()
{
    evbuffer *input = bufferevent_get_input(m_connection);
    if (evbuffer_search(input, EndOfHead.data(), EndOfHead.size(), nullptr).pos < 0) {
        if (evbuffer_get_length(input) > MaxRelayAnswerBytes) {
            onEnd(AnswerEndProof::NoAnswer);
        }
        return;
    }
    std::string line(sizeof "HTTP/1.1 200" - 1, '\0');
    evbuffer_remove(input, line.data(), line.size());
    evbuffer_drain(input, evbuffer_get_length(input));
    if (line.ends_with(" " + std::to_string(StatusConnected))) {
        onOpen();
    } else {
        onEnd(line.ends_with(" " + std::to_string(StatusUpstreamUnreachable)) ? AnswerEndProof::Refused : AnswerEndProof::NoAnswer);
    }
}

void ProcessWatch::onOpen()
{
    m_phase = Phase::Open;
    if (m_then) {
        m_timer.startOnce(HoldTime);
    } else {
        m_timer.startOnce(m_relay ? RelaySettleTime : SettleTime);
    }
}

/// A connection that is opened again after one was refused or closed may be a successor's: the answer's end can be seen much later than it happens, since
/// its caller reads slowly or the link is slow.
void ProcessWatch::onEnd(AnswerEndProof proof)
{
    m_phase = Phase::Ended;
    m_isInTime = false;
    m_lastEnd = proof;
    disconnect();
    if (m_then) {
        m_timer.startOnce(Duration::zero());
    } else if (proof == AnswerEndProof::NoAnswer) {
        m_timer.startOnce(m_reopenDelay);
        m_reopenDelay = std::min(m_reopenDelay * 2, MaxReopenDelay);
    }
}

void ProcessWatch::onTimer()
{
    if (!m_then) {
        if (m_phase == Phase::Open) {
            m_isInTime = true;
        } else {
            connect();
        }
        return;
    }
    const AnswerEndProof failure = m_phase == Phase::Connecting ? AnswerEndProof::NoAnswer : m_lastEnd;
    const AnswerEndProof held = m_isInTime ? AnswerEndProof::Held : AnswerEndProof::HeldLate;
    std::exchange(m_then, {})(m_phase == Phase::Open ? held : failure);
}

void ProcessWatch::verifyEnd(std::function<void(AnswerEndProof)> then)
{
    m_then = std::move(then);
    switch (m_phase) {
    case Phase::Connecting:
        m_timer.startOnce(ConnectTimeout);
        break;
    case Phase::Open:
        m_timer.startOnce(HoldTime);
        break;
    case Phase::Ended:
        m_timer.startOnce(Duration::zero());
        break;
    }
}

}

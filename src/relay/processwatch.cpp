#include "relay/processwatch.h"

#include "common/address.h"
#include "relay/relayserver.h"
#include "upstream/requesthead.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <algorithm>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <utility>

namespace cumindyke
{

namespace
{

/// The server has waited too long for a request: it may have sent this before it got ours (RFC 9110, 15.5.9).
constexpr int StatusRequestTimeout = 408;
/// Another process answers at the address.
constexpr int StatusMisdirected = 421;
/// A gateway before the upstream speaks, possibly of an upstream that has ended.
constexpr int StatusBadGateway = 502;
constexpr int StatusGatewayTimeout = 504;

std::string takeAll(evbuffer *input)
{
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    return bytes;
}

}

const char *toString(AnswerEndProof proof)
{
    switch (proof) {
    case AnswerEndProof::Answered:
        return "answered";
    case AnswerEndProof::Closed:
        return "closed";
    case AnswerEndProof::Unanswered:
        return "unanswered";
    case AnswerEndProof::Unwatched:
        return "unwatched";
    }
    return "";
}

ProcessWatch::ProcessWatch(EventLoop &loop, const Address &upstream, const std::optional<Address> &relay, LivenessRequest request, std::function<void()> opened)
    : m_loop(loop)
    , m_upstream(upstream)
    , m_relay(relay)
    , m_request(std::move(request))
    , m_opened(std::move(opened))
    , m_timer(loop, [this] { onTimer(); })
{
    m_timer.startOnce(ConnectTimeout);
    m_connection = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_connection, &ProcessWatch::onRead, nullptr, &ProcessWatch::onEvent, this);
    bufferevent_enable(m_connection, EV_READ | EV_WRITE);
    const std::optional<sockaddr_in> address = socketAddress(m_relay.value_or(m_upstream));
    if (!address || bufferevent_socket_connect(m_connection, reinterpret_cast<const sockaddr *>(&*address), sizeof *address) != 0) {
        m_phase = Phase::Ended;
        m_timer.startOnce(Duration::zero());
    }
}

ProcessWatch::~ProcessWatch()
{
    disconnect();
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
    switch (watch->m_phase) {
    case Phase::Connecting:
        watch->readRelayAnswer();
        break;
    case Phase::Asked:
        watch->readAnswer();
        break;
    case Phase::Open:
    case Phase::Ended:
        // Nothing was asked for.
        takeAll(bufferevent_get_input(connection));
        break;
    }
}

void ProcessWatch::onEvent(bufferevent *connection, short what, void *self)
{
    auto *watch = static_cast<ProcessWatch *>(self);
    if ((what & BEV_EVENT_CONNECTED) == 0) {
        watch->onEnd(watch->m_phase == Phase::Connecting ? AnswerEndProof::Unwatched : AnswerEndProof::Closed);
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
    const std::string received = takeAll(bufferevent_get_input(m_connection));
    std::string_view bytes = received;
    const AnswerParser::Step step = m_relayAnswer.next(bytes);
    if (step == AnswerParser::Step::Head && m_relayAnswer.head().status == StatusConnected) {
        onOpen();
    } else if (step != AnswerParser::Step::NeedsMore) {
        onEnd(AnswerEndProof::Unwatched);
    }
}

void ProcessWatch::readAnswer()
{
    const std::string received = takeAll(bufferevent_get_input(m_connection));
    std::string_view bytes = received;
    const AnswerParser::Step step = m_answer.next(bytes);
    if (step == AnswerParser::Step::NeedsMore) {
        return;
    }
    onEnd(step == AnswerParser::Step::Head && isOwnAnswer() ? AnswerEndProof::Answered : AnswerEndProof::Unanswered);
}

bool ProcessWatch::isOwnAnswer() const
{
    const AnswerHead &head = m_answer.head();
    for (const auto &[name, value] : head.headers) {
        if (evutil_ascii_strcasecmp(name.c_str(), m_request.instanceHeader.c_str()) == 0 && value != m_request.instance) {
            return false;
        }
    }
    return head.status != StatusRequestTimeout && head.status != StatusMisdirected && head.status != StatusBadGateway && head.status != StatusGatewayTimeout;
}

void ProcessWatch::onOpen()
{
    m_phase = Phase::Open;
    emitOpened();
}

void ProcessWatch::emitOpened()
{
    if (const std::function<void()> opened = std::exchange(m_opened, {})) {
        m_timer.stop();
        opened();
    }
}

void ProcessWatch::onEnd(AnswerEndProof proof)
{
    m_phase = Phase::Ended;
    m_end = proof;
    disconnect();
    emitOpened();
    if (m_then && m_isMinTimeOver) {
        m_timer.startOnce(Duration::zero());
    }
}

void ProcessWatch::ask()
{
    m_phase = Phase::Asked;
    std::string head = "GET " + (isRequestTarget(m_request.target) ? m_request.target : "/") + " HTTP/1.1\r\n";
    appendHeader(head, "Host", isSafeInHead(m_request.host) ? m_request.host : toString(m_upstream));
    appendHeader(head, "Connection", "close");
    for (const auto &[name, value] : m_request.headers) {
        appendHeader(head, name, value);
    }
    head += "\r\n";
    bufferevent_write(m_connection, head.data(), head.size());
}

void ProcessWatch::onTimer()
{
    if (!m_then) {
        // Opened after the request was sent, the connection may be a successor's.
        onEnd(AnswerEndProof::Unwatched);
        return;
    }
    // The loop counts a timer from the beginning of the turn in which it was started, so it may fire before MinTime is over.
    const Duration missing = m_answerEndedAt + MinTime - EventLoop::now();
    if (!m_isMinTimeOver && missing > Duration::zero()) {
        m_timer.startOnce(missing);
        return;
    }
    if (!m_isMinTimeOver && m_phase != Phase::Ended) {
        m_isMinTimeOver = true;
        m_timer.startOnce(std::max(m_limit - MinTime, Duration::zero()));
        return;
    }
    std::exchange(m_then, {})(m_phase == Phase::Ended ? m_end : AnswerEndProof::Unanswered);
}

void ProcessWatch::verifyEnd(TimePoint now, Duration limit, std::function<void(AnswerEndProof)> then)
{
    m_then = std::move(then);
    m_limit = limit;
    m_answerEndedAt = now;
    m_timer.startOnce(MinTime);
    if (m_phase == Phase::Open) {
        ask();
    }
}

}

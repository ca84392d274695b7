#include "upstream/upstreamcall.h"

#include "common/address.h"
#include "upstream/answerparser.h"
#include "upstream/requesthead.h"
#include "upstream/socketend.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr int StatusOk = 200;

void releaseBody(const void * /*data*/, size_t /*length*/, void *reference)
{
    delete static_cast<std::shared_ptr<const std::string> *>(reference);
}

const std::string *findHeader(const AnswerHead &head, const std::string &name)
{
    for (const auto &[key, value] : head.headers) {
        if (evutil_ascii_strcasecmp(key.c_str(), name.c_str()) == 0) {
            return &value;
        }
    }
    return nullptr;
}

}

/// A slot of a signal may cancel or destroy the call, so close() hands a reference to the event loop, which frees the connection outside of any callback.
class UpstreamCall::Private : public std::enable_shared_from_this<UpstreamCall::Private>
{
public:
    Private(EventLoop &loop, UpstreamRequest request, ProgressTimeouts timeouts)
        : m_loop(loop)
        , m_request(std::move(request))
        , m_timeouts(timeouts)
        , m_timer(loop, [this] { onTimeout(); })
        , m_answer(m_request.method)
    {
    }

    ~Private()
    {
        if (m_connection) {
            bufferevent_free(m_connection);
        }
    }

    void start();
    void close();
    void setPaused(bool paused);
    void holdRequest()
    {
        m_isHeld = true;
    }
    void releaseRequest();
    bool isSent() const
    {
        return m_anyByteSent;
    }
    bool hasIntactEnd() const;

    sigc::signal<void> m_sentSignal;
    sigc::signal<void, const AnswerHead &> m_headSignal;
    sigc::signal<void, std::string_view> m_dataSignal;
    sigc::signal<void> m_finishedSignal;
    sigc::signal<void, CallFailure> m_failedSignal;

private:
    enum class Phase { Connecting, AwaitingRelay, Held, Sending, AwaitingHead, ReadingBody };

    static void onReadable(bufferevent *connection, void *self);
    static void onWritten(bufferevent *connection, void *self);
    static void onEvent(bufferevent *connection, short what, void *self);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *self);

    void handleConnected();
    void sendRequest();
    void recordSent();
    void readAnswer();
    void readRelayAnswer(std::string_view &bytes);
    void parse(std::string_view bytes);
    void handleHead();
    void handleBody(std::string_view bytes);
    void handleWhole();
    void handleClosed();
    void finish();
    void onTimeout();
    void fail(CallFailure failure);
    CallFailure failureBeforeSending() const;
    bool hasUnsentBytes() const;

    EventLoop &m_loop;
    UpstreamRequest m_request;
    ProgressTimeouts m_timeouts;
    Timer m_timer;
    bufferevent *m_connection = nullptr;
    Phase m_phase = Phase::Connecting;
    bool m_isHeld = false;
    bool m_anyByteSent = false;
    bool m_closed = false;
    bool m_paused = false;
    /// The connection was reset while the request was written. What was received before is still read, but its end proves nothing.
    bool m_writeFailed = false;
    /// The upstream's end of the connection is closed; ours stays open until it is known whether a reset follows.
    bool m_hasEnded = false;
    AnswerParser m_relayAnswer{"CONNECT"};
    AnswerParser m_answer;
    std::size_t m_bodyBytes = 0;
};

void UpstreamCall::Private::start()
{
    m_connection = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_connection, &Private::onReadable, &Private::onWritten, &Private::onEvent, this);
    evbuffer_add_cb(bufferevent_get_output(m_connection), &Private::onOutput, this);
    m_timer.startOnce(m_timeouts.connect);
    const std::optional<sockaddr_in> address = socketAddress(m_request.relay.value_or(m_request.address));
    const auto self = shared_from_this();
    if (!address || bufferevent_socket_connect(m_connection, reinterpret_cast<const sockaddr *>(&*address), sizeof *address) != 0) {
        fail(failureBeforeSending());
    }
}

void UpstreamCall::Private::onEvent(bufferevent * /*connection*/, short what, void *self)
{
    const auto call = static_cast<Private *>(self)->shared_from_this();
    if (call->m_closed || call->m_hasEnded) {
        return;
    }
    if (what & BEV_EVENT_CONNECTED) {
        call->handleConnected();
    } else if ((what & BEV_EVENT_WRITING) && !(what & BEV_EVENT_READING) && call->m_anyByteSent) {
        // The write has consumed the error: the next read would report an end in order.
        call->m_writeFailed = true;
        if (call->m_answer.isWhole()) {
            call->finish();
        }
    } else {
        call->m_writeFailed = call->m_writeFailed || (what & BEV_EVENT_ERROR) != 0;
        call->handleClosed();
    }
}

void UpstreamCall::Private::handleConnected()
{
    bufferevent_enable(m_connection, EV_READ | EV_WRITE);
    if (!m_request.relay) {
        sendRequest();
        return;
    }
    // RFC 9110, 9.3.6. Afterwards the connection is used as if it went to the upstream.
    m_phase = Phase::AwaitingRelay;
    const std::string target = toString(m_request.address);
    const std::string head = "CONNECT " + target + " HTTP/1.1\r\nHost: " + target + "\r\n\r\n";
    bufferevent_write(m_connection, head.data(), head.size());
}

void UpstreamCall::Private::releaseRequest()
{
    m_isHeld = false;
    if (!m_closed && m_phase == Phase::Held) {
        m_timer.startOnce(m_timeouts.connect);
        sendRequest();
    }
}

void UpstreamCall::Private::sendRequest()
{
    if (m_isHeld) {
        m_phase = Phase::Held;
        m_timer.stop();
        return;
    }
    m_phase = Phase::Sending;
    const std::shared_ptr<const std::string> shared = std::move(m_request.sharedBody);
    const std::size_t length = shared && !shared->empty() ? shared->size() : m_request.body.size();
    std::string head
        = (isSafeInHead(m_request.method) ? m_request.method : "GET") + " " + (isSafeInHead(m_request.target) ? m_request.target : "/") + " HTTP/1.1\r\n";
    appendHeader(head, "Host", m_request.host.empty() ? toString(m_request.address) : m_request.host);
    appendHeader(head, m_request.idHeader, m_request.id.value);
    appendHeader(head, "Connection", "close");
    for (const auto &[name, value] : m_request.headers) {
        appendHeader(head, name, value);
    }
    if (length > 0 || m_request.method == "POST" || m_request.method == "PUT") {
        appendHeader(head, "Content-Length", std::to_string(length));
    }
    head += "\r\n";
    evbuffer *output = bufferevent_get_output(m_connection);
    evbuffer_add(output, head.data(), head.size());
    if (shared && !shared->empty()) {
        // The buffer holds its own reference until the body is sent: libevent may free the buffer after this object.
        auto *reference = new std::shared_ptr<const std::string>(shared);
        evbuffer_add_reference(output, shared->data(), shared->size(), &releaseBody, reference);
    } else if (!m_request.body.empty()) {
        evbuffer_add(output, m_request.body.data(), m_request.body.size());
    }
}

void UpstreamCall::Private::onOutput(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self)
{
    auto *call = static_cast<Private *>(self);
    if (info->n_deleted > 0 && !call->m_closed && call->m_phase == Phase::Sending) {
        call->recordSent();
    }
}

void UpstreamCall::Private::recordSent()
{
    m_anyByteSent = true;
    m_phase = Phase::AwaitingHead;
    m_timer.startOnce(m_timeouts.firstByte);
    m_sentSignal.emit();
}

void UpstreamCall::Private::onWritten(bufferevent * /*connection*/, void *self)
{
    const auto call = static_cast<Private *>(self)->shared_from_this();
    if (!call->m_closed && call->m_answer.isWhole()) {
        call->finish();
    }
}

void UpstreamCall::Private::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_timer.stop();
    if (m_connection) {
        // Until the connection is freed, an event that is already due could still open it or write the request.
        bufferevent_disable(m_connection, EV_READ | EV_WRITE);
        bufferevent_setcb(m_connection, nullptr, nullptr, nullptr, nullptr);
    }
    // The loop keeps the reference until the current callback has returned; releasing the last one frees the connection.
    m_loop.releaseLater(shared_from_this());
}

void UpstreamCall::Private::setPaused(bool paused)
{
    if (m_closed || m_hasEnded || m_paused == paused || m_phase != Phase::ReadingBody) {
        return;
    }
    m_paused = paused;
    if (paused) {
        bufferevent_disable(m_connection, EV_READ);
        m_timer.stop();
    } else {
        bufferevent_enable(m_connection, EV_READ);
        m_timer.startOnce(m_timeouts.betweenBytes);
    }
}

bool UpstreamCall::Private::hasUnsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_connection)) > 0;
}

bool UpstreamCall::Private::hasIntactEnd() const
{
    return m_hasEnded && !m_writeFailed && !hasUnsentBytes() && cumindyke::hasIntactEnd(bufferevent_getfd(m_connection));
}

void UpstreamCall::Private::onReadable(bufferevent * /*connection*/, void *self)
{
    const auto call = static_cast<Private *>(self)->shared_from_this();
    if (!call->m_closed) {
        call->readAnswer();
    }
}

/// Takes all that has arrived, also while the request is still being written, so that at most one read of the socket is held.
void UpstreamCall::Private::readAnswer()
{
    evbuffer *input = bufferevent_get_input(m_connection);
    std::string received(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, received.data(), received.size());
    std::string_view bytes = received;
    if (m_phase == Phase::AwaitingRelay) {
        readRelayAnswer(bytes);
    }
    if (!m_closed && m_phase != Phase::AwaitingRelay) {
        parse(bytes);
    }
}

void UpstreamCall::Private::readRelayAnswer(std::string_view &bytes)
{
    const AnswerParser::Step step = m_relayAnswer.next(bytes);
    if (step == AnswerParser::Step::NeedsMore) {
        return;
    }
    const int status = step == AnswerParser::Step::Head ? m_relayAnswer.head().status : 0;
    if (status == StatusOk) {
        sendRequest();
    } else {
        fail(status == StatusUpstreamUnreachable ? CallFailure::NotSent : CallFailure::RelayFailed);
    }
}

void UpstreamCall::Private::parse(std::string_view bytes)
{
    while (!m_closed) {
        switch (m_answer.next(bytes)) {
        case AnswerParser::Step::NeedsMore:
            return;
        case AnswerParser::Step::Head:
            handleHead();
            break;
        case AnswerParser::Step::Body:
            handleBody(m_answer.body());
            break;
        case AnswerParser::Step::Whole:
            handleWhole();
            return;
        case AnswerParser::Step::Broken:
            fail(m_anyByteSent ? CallFailure::Lost : failureBeforeSending());
            return;
        }
    }
}

void UpstreamCall::Private::handleHead()
{
    if (!m_anyByteSent) {
        // It answers no request: none has been sent yet.
        fail(failureBeforeSending());
        return;
    }
    // An upstream that mixes up its connections returns another caller's answer, which must not be passed on.
    const std::string *echoed = findHeader(m_answer.head(), m_request.idHeader);
    if (echoed && !echoed->empty() && *echoed != m_request.id.value) {
        fail(CallFailure::MismatchedId);
        return;
    }
    m_phase = Phase::ReadingBody;
    m_timer.startOnce(m_timeouts.betweenBytes);
    m_headSignal.emit(m_answer.head());
}

void UpstreamCall::Private::handleBody(std::string_view bytes)
{
    m_bodyBytes += bytes.size();
    if (m_request.maxAnswerBytes && m_bodyBytes > *m_request.maxAnswerBytes) {
        fail(CallFailure::Lost);
        return;
    }
    if (!m_paused) {
        m_timer.startOnce(m_timeouts.betweenBytes);
    }
    m_dataSignal.emit(bytes);
}

/// An upstream may answer before it has read the request, and reads the rest later.
void UpstreamCall::Private::handleWhole()
{
    if (hasUnsentBytes() && !m_writeFailed) {
        bufferevent_disable(m_connection, EV_READ);
        return;
    }
    finish();
}

void UpstreamCall::Private::finish()
{
    close();
    m_finishedSignal.emit();
}

/// The connection has ended, in order unless m_writeFailed is set.
void UpstreamCall::Private::handleClosed()
{
    if (m_answer.isWhole()) {
        finish();
        return;
    }
    const bool mayBeWhole = m_answer.endsWithConnection() && m_request.allowsCloseDelimitedBody && !m_writeFailed && !hasUnsentBytes();
    if (mayBeWhole) {
        m_hasEnded = true;
        m_timer.stop();
        m_finishedSignal.emit();
        return;
    }
    if (m_phase == Phase::AwaitingRelay) {
        fail(CallFailure::RelayFailed);
        return;
    }
    fail(m_anyByteSent ? CallFailure::Lost : failureBeforeSending());
}

void UpstreamCall::Private::onTimeout()
{
    if (m_closed) {
        return;
    }
    if (m_answer.isWhole()) {
        finish();
        return;
    }
    fail(m_anyByteSent ? CallFailure::TimedOut : failureBeforeSending());
}

CallFailure UpstreamCall::Private::failureBeforeSending() const
{
    if (m_phase == Phase::Held) {
        return CallFailure::EndedUnsent;
    }
    return m_request.relay ? CallFailure::RelayFailed : CallFailure::NotSent;
}

void UpstreamCall::Private::fail(CallFailure failure)
{
    const auto self = shared_from_this();
    close();
    m_failedSignal.emit(failure);
}

UpstreamCall::UpstreamCall(EventLoop &loop, UpstreamRequest request, ProgressTimeouts timeouts)
    : d(std::make_shared<Private>(loop, std::move(request), timeouts))
{
}

UpstreamCall::~UpstreamCall()
{
    cancel();
}

void UpstreamCall::start()
{
    d->start();
}

void UpstreamCall::holdRequest()
{
    d->holdRequest();
}

void UpstreamCall::releaseRequest()
{
    d->releaseRequest();
}

void UpstreamCall::cancel()
{
    d->close();
}

void UpstreamCall::setPaused(bool paused)
{
    d->setPaused(paused);
}

bool UpstreamCall::isSent() const
{
    return d->isSent();
}

bool UpstreamCall::hasIntactEnd() const
{
    return d->hasIntactEnd();
}

sigc::signal<void> &UpstreamCall::sent()
{
    return d->m_sentSignal;
}

sigc::signal<void, const AnswerHead &> &UpstreamCall::head()
{
    return d->m_headSignal;
}

sigc::signal<void, std::string_view> &UpstreamCall::data()
{
    return d->m_dataSignal;
}

sigc::signal<void> &UpstreamCall::finished()
{
    return d->m_finishedSignal;
}

sigc::signal<void, CallFailure> &UpstreamCall::failed()
{
    return d->m_failedSignal;
}

}

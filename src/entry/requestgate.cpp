#include "entry/requestgate.h"

#include "entry/exchange.h"
#include "entry/headers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <utility>

namespace cumindyke
{

namespace
{

/// A connection that is closed while bytes of the caller are unread is reset, and the caller may lose the refusal. What it had sent already, and a body that it
/// sends without waiting, is read within these bounds first.
constexpr Duration MaxDiscardTime = std::chrono::seconds(2);
constexpr std::size_t MaxDiscardedBytes = 2 * RequestReader::MaxBodyBytes;

/// Of what a caller sends before its answer is written. More waits in the kernel's buffers and at the caller.
constexpr std::size_t MaxHeldBytes = 64U << 10;

const char *statusText(int status)
{
    switch (status) {
    case RequestReader::BodyTooLarge:
        return "413 Content Too Large";
    case RequestReader::HeadTooLarge:
        return "431 Request Header Fields Too Large";
    default:
        return "400 Bad Request";
    }
}

std::string refusalText(int status, const char *reason)
{
    const ErrorKind kind = status == RequestReader::BadRequest ? ErrorKind::BadRequest : ErrorKind::TooLarge;
    const std::string body = errorJson(Error{kind, reason}, RunOutcome::NotRun) + "\n";
    return makeHeadRefusal(statusText(status), "", reason, body).text;
}

}

RequestGate::RequestGate(EventLoop &loop, bufferevent *connection, Refused refused, AdmitBody admitBody)
    : m_loop(loop)
    , m_connection(connection)
    , m_input(bufferevent_get_input(connection))
    , m_held(evbuffer_new())
    , m_refused(std::move(refused))
    , m_admitBody(std::move(admitBody))
{
}

RequestGate::~RequestGate()
{
    evbuffer_free(m_held);
}

void RequestGate::handleInput(const evbuffer_cb_info &info)
{
    if (hasRefused()) {
        discardInput();
        return;
    }
    if (isReadingBody()) {
        m_lastInputAt = EventLoop::now();
        m_bodyBytes += info.n_added;
    }
    if (isReading() && info.n_added <= m_reader.remainingLength() && evbuffer_get_length(m_held) == 0) {
        m_reader.skip(info.n_added);
        m_phase = m_reader.isWhole() ? Phase::Answering : Phase::Reading;
        return;
    }
    // The front of the input is what the parser has not taken yet.
    m_isReleasing = true;
    if (info.orig_size == 0) {
        evbuffer_add_buffer(m_held, m_input);
    } else {
        evbuffer *all = evbuffer_new();
        evbuffer_add_buffer(all, m_input);
        evbuffer_remove_buffer(all, m_input, info.orig_size);
        evbuffer_add_buffer(m_held, all);
        evbuffer_free(all);
    }
    m_isReleasing = false;
    if (isReading()) {
        readHeld();
    }
    limitHeld();
}

/// Without it a caller fills the VM's memory with what it sends during one long answer. libevent enables reading again with each piece of an answer that it
/// writes: then one byte is read until it is disabled again.
void RequestGate::limitHeld()
{
    const bool isFull = isWaiting() || (isAnswering() && evbuffer_get_length(m_held) > MaxHeldBytes);
    if (isFull) {
        bufferevent_disable(m_connection, EV_READ);
    }
    if (isFull != m_isFull) {
        m_isFull = isFull;
        bufferevent_set_max_single_read(m_connection, isFull ? 1 : 0);
    }
}

const char *RequestGate::stateName() const
{
    switch (m_phase) {
    case Phase::Reading:
        return "reading-request";
    case Phase::Waiting:
        return "waiting-to-read";
    case Phase::Answering:
        return "answering";
    case Phase::Refusing:
    case Phase::Refused:
        return "refused";
    case Phase::Closed:
        return "closed";
    }
    return "";
}

/// Gives the parser what is held of the request that it reads.
void RequestGate::readHeld()
{
    m_isReleasing = true;
    // Outside of a read the end of a connection's input is frozen.
    evbuffer_unfreeze(m_input, 0);
    while (isReading() && !m_reader.isWhole() && readStep()) {
    }
    releaseChunk();
    if (m_reader.isWhole()) {
        m_phase = Phase::Answering;
    }
    m_isReleasing = false;
}

/// Reads one contiguous part of what is held; false if there is none.
bool RequestGate::readStep()
{
    evbuffer_ptr position{};
    evbuffer_ptr_set(m_held, &position, m_readBytes, EVBUFFER_PTR_SET);
    evbuffer_iovec part{};
    if (evbuffer_get_length(m_held) == m_readBytes || evbuffer_peek(m_held, -1, &position, &part, 1) < 1) {
        return false;
    }
    std::string_view bytes(static_cast<const char *>(part.iov_base), part.iov_len);
    const RequestReader::Step step = m_reader.next(bytes);
    m_readBytes += part.iov_len - bytes.size();
    const bool isChunked = m_reader.head().framing == BodyFraming::Chunked;
    switch (step) {
    case RequestReader::Step::NeedsMore:
        // A head is given to the parser as a whole, and a chunk's frame not at all.
        if (m_reader.isInBody()) {
            evbuffer_drain(m_held, std::exchange(m_readBytes, 0));
        }
        return true;
    case RequestReader::Step::Head:
        return admitHead();
    case RequestReader::Step::Body:
        if (!isChunked) {
            release(std::exchange(m_readBytes, 0));
            return true;
        }
        m_chunkData += m_reader.body();
        evbuffer_drain(m_held, std::exchange(m_readBytes, 0));
        return true;
    case RequestReader::Step::Whole:
        evbuffer_drain(m_held, std::exchange(m_readBytes, 0));
        releaseChunk();
        append("0\r\n\r\n");
        return false;
    case RequestReader::Step::Refused:
        refuse();
        return false;
    }
    return false;
}

/// Returns whether the reader goes on.
bool RequestGate::admitHead()
{
    if (m_admitBody && m_reader.head().framing != BodyFraming::Empty) {
        const char *bytes = reinterpret_cast<const char *>(evbuffer_pullup(m_held, static_cast<ev_ssize_t>(m_readBytes)));
        BodyAdmission admission = m_admitBody(m_reader.head(), std::string_view(bytes, m_readBytes));
        if (admission.kind == BodyAdmission::Kind::Refuse) {
            m_refusal = std::move(admission.refusal);
            refuse();
            return false;
        }
        if (m_phase != Phase::Waiting) {
            m_bodySince = EventLoop::now();
        }
        m_lastInputAt = m_bodySince;
        m_bodyBytes = 0;
        if (admission.kind == BodyAdmission::Kind::Wait) {
            m_phase = Phase::Waiting;
            return false;
        }
        m_reservation = std::move(admission.reservation);
    }
    beginBody();
    return true;
}

void RequestGate::beginBody()
{
    m_phase = Phase::Reading;
    releaseHead();
    m_reader.beginBody();
}

void RequestGate::retryBody()
{
    // Outside of a read the end of a connection's input is frozen.
    evbuffer_unfreeze(m_input, 0);
    m_isReleasing = true;
    const bool isAdmitted = admitHead();
    m_isReleasing = false;
    if (!isAdmitted) {
        return;
    }
    m_bodySince = EventLoop::now();
    m_lastInputAt = m_bodySince;
    readHeld();
    limitHeld();
    bufferevent_enable(m_connection, EV_READ);
    // In Waiting the parser has no request: it waits for a first line, and no bytes need to follow that would have it read. It may close the connection.
    bufferevent_trigger(m_connection, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
}

void RequestGate::refuseBody(HeadRefusal refusal)
{
    m_refusal = std::move(refusal);
    m_isReleasing = true;
    refuse();
    m_isReleasing = false;
    limitHeld();
    bufferevent_enable(m_connection, EV_READ);
}

bool RequestGate::isSlow(TimePoint now) const
{
    if (!isReadingBody() || now - m_bodySince < SlowAfter) {
        return false;
    }
    const auto seconds = std::chrono::duration<double>(now - m_bodySince).count();
    return now - m_lastInputAt >= SlowAfter || static_cast<double>(m_bodyBytes) < seconds * MinBytesPerSecond;
}

std::shared_ptr<BodyReservation> RequestGate::takeReservation()
{
    return std::exchange(m_reservation, nullptr);
}

void RequestGate::releaseHead()
{
    const std::size_t length = std::exchange(m_readBytes, 0);
    if (m_reader.head().isPlain) {
        release(length);
        return;
    }
    const std::string_view head(reinterpret_cast<const char *>(evbuffer_pullup(m_held, static_cast<ev_ssize_t>(length))), length);
    append(canonicalHead(head, "/"));
    evbuffer_drain(m_held, length);
    m_target = m_reader.head().target;
}

void RequestGate::release(std::size_t bytes)
{
    evbuffer_remove_buffer(m_held, m_input, bytes);
}

/// libevent reads no extensions of chunks and takes a trailer for fields of the head: it gets the data alone, in chunks of its own.
void RequestGate::releaseChunk()
{
    if (m_chunkData.empty() || !isReading()) {
        return;
    }
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", m_chunkData.size());
    append(size.data() + std::exchange(m_chunkData, {}) + "\r\n");
}

void RequestGate::append(const std::string &bytes)
{
    evbuffer_add(m_input, bytes.data(), bytes.size());
}

std::optional<std::string> RequestGate::takeTarget()
{
    return std::exchange(m_target, std::nullopt);
}

void RequestGate::endRequest()
{
    if (!isAnswering()) {
        return;
    }
    m_reader.beginNext();
    m_phase = Phase::Reading;
    if (evbuffer_get_length(m_held) > 0) {
        readHeld();
    }
    limitHeld();
}

void RequestGate::close()
{
    m_phase = Phase::Closed;
    m_reservation.reset();
    m_refusalTimer.reset();
}

/// What the parser has not read of the request is taken from it, so that it does not answer too.
void RequestGate::refuse()
{
    m_phase = Phase::Refusing;
    m_reservation.reset();
    m_refusedAt = EventLoop::now();
    evbuffer_drain(m_held, evbuffer_get_length(m_held));
    evbuffer_drain(m_input, evbuffer_get_length(m_input));
    m_refusalTimer = std::make_unique<Timer>(m_loop, [this] { sendRefusal(); });
    m_refusalTimer->startOnce(Duration::zero());
}

/// The answer before is written, and the connection was not closed with it.
void RequestGate::sendRefusal()
{
    m_phase = Phase::Refused;
    m_refused(m_refusal ? m_refusal->status : m_reader.refusalStatus(), m_refusal ? m_refusal->reason.c_str() : m_reader.refusalReason());
    const evutil_socket_t socket = bufferevent_getfd(m_connection);
    if (evbuffer_get_length(bufferevent_get_output(m_connection)) > 0) {
        // The parser has answered the request by itself, because of its head, or has just accepted that its body is sent.
        shutdown(socket, SHUT_RDWR);
        return;
    }
    const std::string text = m_refusal ? m_refusal->text : refusalText(m_reader.refusalStatus(), m_reader.refusalReason());
    send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    shutdown(socket, SHUT_WR);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(MaxDiscardTime);
    const timeval timeout{.tv_sec = seconds.count(), .tv_usec = 0};
    bufferevent_set_timeouts(m_connection, &timeout, nullptr);
}

/// libevent detects the caller's close, and this one's.
void RequestGate::discardInput()
{
    const std::size_t length = evbuffer_get_length(m_input);
    m_discardedBytes += length;
    evbuffer_drain(m_input, length);
    if (m_discardedBytes > MaxDiscardedBytes || EventLoop::now() - m_refusedAt > MaxDiscardTime) {
        shutdown(bufferevent_getfd(m_connection), SHUT_RDWR);
    }
}

}

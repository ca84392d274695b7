#pragma once

#include "common/eventloop.h"
#include "entry/bodyadmission.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace cumindyke
{

/// Stands between a caller's connection and libevent's HTTP parser, which is lax: gives it the bytes of one request after the other, each only after
/// RequestReader has accepted them, and the next only when the answer before is written. A request that is refused is answered here, and no byte after it is
/// read as a request.
class RequestGate
{
public:
    /// Called with the status and the reason when a refusal is sent.
    using Refused = std::function<void(int status, const char *reason)>;

    /// Without "admitBody" all bodies are read.
    RequestGate(EventLoop &loop, bufferevent *connection, Refused refused, AdmitBody admitBody = {});
    ~RequestGate();
    RequestGate(const RequestGate &) = delete;
    RequestGate &operator=(const RequestGate &) = delete;

    /// Bytes were appended to the connection's input. Leaves in it what the parser may read.
    void handleInput(const evbuffer_cb_info &info);
    /// The answer is written. Call before the parser begins to read again: it finds in the connection's input what has been accepted of the next request.
    void endRequest();
    /// The connection is being closed.
    void close();
    /// Asks again whether the body is read. Call only while isWaiting().
    void retryBody();
    /// Refuses the request that is being received, or whose body waits to be read.
    void refuseBody(HeadRefusal refusal);
    /// The head is complete, and the body is not read for now.
    bool isWaiting() const
    {
        return m_phase == Phase::Waiting;
    }
    /// Whether a body for which bytes are reserved arrives more slowly than others should wait for: nothing for some seconds, or little in all.
    bool isSlow(TimePoint now) const;
    /// Since when the body waits, or is read.
    TimePoint bodySince() const
    {
        return m_bodySince;
    }
    /// Of the request that the parser has read; null if nothing is reserved.
    std::shared_ptr<BodyReservation> takeReservation();
    /// Whether the input changes because of the gate itself.
    bool isReleasing() const
    {
        return m_isReleasing;
    }
    /// Whether a request is being received, or the next one can begin.
    bool isReading() const
    {
        return m_phase == Phase::Reading;
    }
    /// Whether a request was received whose answer is not written completely.
    bool isAnswering() const
    {
        return m_phase == Phase::Answering;
    }
    /// Whether the request was refused, so that what arrives is discarded.
    bool hasRefused() const
    {
        return m_phase == Phase::Refusing || m_phase == Phase::Refused;
    }
    /// For the line that reports a fatal error.
    const char *stateName() const;
    /// Received, but not given to the parser yet.
    evbuffer *held() const
    {
        return m_held;
    }
    /// The target of the request that the parser has read, if it was given another one; see RequestHead::isPlain.
    std::optional<std::string> takeTarget();

private:
    /// Only in Reading does the parser get bytes. It reads them when they arrive, or when it turns to the next request. It is told to read only by retryBody(),
    /// after Waiting: then it has answered all before and waits for the first line of a request. Told so while it answers, it ends the process.
    enum class Phase {
        Reading, ///< bytes that are accepted are given to the parser
        Waiting, ///< the head is complete, the body waits at the caller until there is room for it
        Answering, ///< the request is whole; bytes are held until its answer is written
        Refusing, ///< the refusal is sent in the next turn of the loop, unless the answer before it closes the connection
        Refused, ///< bytes are discarded
        Closed,
    };

    static constexpr Duration SlowAfter = std::chrono::seconds(3);
    static constexpr double MinBytesPerSecond = 64 << 10;

    bool isReadingBody() const
    {
        return m_phase == Phase::Reading && m_reservation;
    }
    void readHeld();
    bool readStep();
    bool admitHead();
    void beginBody();
    void releaseHead();
    void release(std::size_t bytes);
    void releaseChunk();
    void append(const std::string &bytes);
    void limitHeld();
    void refuse();
    void sendRefusal();
    void discardInput();

    EventLoop &m_loop;
    bufferevent *m_connection;
    evbuffer *m_input;
    evbuffer *m_held;
    Refused m_refused;
    AdmitBody m_admitBody;
    RequestReader m_reader;
    /// Bytes at the front of m_held that the reader has taken: of a head that is not complete.
    std::size_t m_readBytes = 0;
    /// Data of chunks that is not given to the parser yet.
    std::string m_chunkData;
    std::optional<std::string> m_target;
    bool m_isReleasing = false;
    /// Nothing more is read before the answer is written.
    bool m_isFull = false;
    Phase m_phase = Phase::Reading;
    std::shared_ptr<BodyReservation> m_reservation;
    TimePoint m_bodySince;
    TimePoint m_lastInputAt;
    std::uint64_t m_bodyBytes = 0;
    /// Set if the reader has accepted the request.
    std::optional<HeadRefusal> m_refusal;
    TimePoint m_refusedAt;
    std::size_t m_discardedBytes = 0;
    /// Null until a request is refused.
    std::unique_ptr<Timer> m_refusalTimer;
};

}

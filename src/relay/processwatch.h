#pragma once

#include "common/eventloop.h"
#include "common/types.h"

#include <functional>
#include <optional>

struct bufferevent;

namespace cumindyke
{

/// What is known of the process that made an answer when the answer's connection has ended.
enum class AnswerEndProof {
    Held, ///< the process that ran while the answer was under way still runs
    HeldLate, ///< a process holds a connection that was opened only when the answer had ended or nearly so; it may be a successor
    Refused, ///< a connection was refused
    Closed, ///< the connection was closed or reset
    NoAnswer, ///< no connection could be opened
};
const char *toString(AnswerEndProof proof);

/// Finds out whether the process that makes an answer still runs after the answer's end, by a connection without a request that is held open meanwhile.
///
/// A killed process closes its connections in order, as one does that has sent a whole answer without a length or chunks. A connection to the address
/// after the end proves nothing: a supervisor's successor may already listen. The held connection is in the backlog of the process, or accepted by it, so
/// it ends with that process, and no successor can hold it, unless processes share one listening socket.
class ProcessWatch
{
public:
    /// Connects to the upstream at once, through the relay if there is one.
    ProcessWatch(EventLoop &loop, const Address &upstream, const std::optional<Address> &relay);
    ~ProcessWatch();
    ProcessWatch(const ProcessWatch &) = delete;
    ProcessWatch &operator=(const ProcessWatch &) = delete;

    /// To be called once, when the answer's connection has ended. "then" is called from the loop after HoldTime, or sooner if the process has not been
    /// proved to run, but not after ConnectTimeout and HoldTime. It must not destroy the watch.
    void verifyEnd(std::function<void(AnswerEndProof)> then);

    /// A process that is killed closes its sockets one after the other, within a few milliseconds.
    static constexpr Duration HoldTime = std::chrono::milliseconds(20);
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

private:
    enum class Phase { Connecting, Open, Ended };

    static void onRead(bufferevent *connection, void *self);
    static void onEvent(bufferevent *connection, short what, void *self);
    void connect();
    void disconnect();
    void readRelayAnswer();
    void onOpen();
    void onEnd(AnswerEndProof proof);
    void onTimer();

    EventLoop &m_loop;
    const Address m_upstream;
    const std::optional<Address> m_relay;
    bufferevent *m_connection = nullptr;
    Phase m_phase = Phase::Connecting;
    /// The connection was open for a while before the answer ended.
    bool m_isInTime = false;
    /// Why the last connection ended.
    AnswerEndProof m_lastEnd = AnswerEndProof::NoAnswer;
    Duration m_reopenDelay = HoldTime;
    std::function<void(AnswerEndProof)> m_then;
    /// Before the answer's end: until an open connection is in time, or until another attempt to open one. After it: until the result.
    Timer m_timer;
};

}

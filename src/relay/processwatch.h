#pragma once

#include "common/eventloop.h"
#include "common/types.h"
#include "upstream/answerparser.h"

#include <functional>
#include <optional>
#include <string>

struct bufferevent;

namespace cumindyke
{

/// What is known of the process that made an answer when the answer's connection has ended.
enum class AnswerEndProof {
    Answered, ///< the process that ran before the request was sent still runs: it has answered a request that was sent after the end
    Closed, ///< the connection was closed or reset
    Unanswered, ///< nothing, or another upstream's refusal, came within the limit
    Unwatched, ///< no connection could be opened before the request was sent: this says nothing of the upstream
};
const char *toString(AnswerEndProof proof);

/// A request that any process of an upstream answers, and that changes nothing there.
struct LivenessRequest
{
    std::string target;
    std::string host;
    HeaderList headers;
    /// An answer that has this header with another value is another process's.
    std::string instanceHeader;
    std::string instance;
};

/// Proves that the process that makes an answer still runs after the answer's end.
///
/// A killed process closes its connections in order, as one does that has sent a whole answer without a length or chunks. That nothing else is heard of the
/// process proves nothing: the end of another of its connections may come later, since a packet was lost or the process is slow to die. So a second
/// connection is opened before the request is sent, and used after the answer's end: only the process that held it before the request can answer on it, and
/// the answer is that process's own, unless processes share one listening socket.
class ProcessWatch
{
public:
    /// Connects to the upstream at once, through the relay if there is one. "opened" is called once from the loop when the connection is open or can't be
    /// opened, and after ConnectTimeout at the latest; it must not destroy the watch.
    ProcessWatch(EventLoop &loop, const Address &upstream, const std::optional<Address> &relay, LivenessRequest request, std::function<void()> opened);
    ~ProcessWatch();
    ProcessWatch(const ProcessWatch &) = delete;
    ProcessWatch &operator=(const ProcessWatch &) = delete;

    /// To be called once, when the answer's connection has ended. "then" is called from the loop, after MinTime and not after the limit or MinTime,
    /// whichever is longer. It must not destroy the watch.
    void verifyEnd(TimePoint now, Duration limit, std::function<void(AnswerEndProof)> then);

    /// A reset that follows the answer's end is seen within this time.
    static constexpr Duration MinTime = std::chrono::milliseconds(20);
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);

private:
    enum class Phase { Connecting, Open, Asked, Ended };

    static void onRead(bufferevent *connection, void *self);
    static void onEvent(bufferevent *connection, short what, void *self);
    void disconnect();
    void readRelayAnswer();
    void readAnswer();
    bool isOwnAnswer() const;
    void onOpen();
    void onEnd(AnswerEndProof proof);
    void emitOpened();
    void ask();
    void onTimer();

    EventLoop &m_loop;
    const Address m_upstream;
    const std::optional<Address> m_relay;
    const LivenessRequest m_request;
    bufferevent *m_connection = nullptr;
    Phase m_phase = Phase::Connecting;
    /// Why the connection ended.
    AnswerEndProof m_end = AnswerEndProof::Unwatched;
    AnswerParser m_relayAnswer{"CONNECT"};
    AnswerParser m_answer{"GET"};
    std::function<void()> m_opened;
    std::function<void(AnswerEndProof)> m_then;
    TimePoint m_answerEndedAt{};
    bool m_isMinTimeOver = false;
    /// Before the answer's end: the time to connect. After it: MinTime, then the limit.
    Timer m_timer;
    Duration m_limit{};
};

}

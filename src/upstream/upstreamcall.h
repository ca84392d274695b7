#pragma once

#include "common/eventloop.h"
#include "common/types.h"
#include "upstream/answerhead.h"

#include <sigc++/sigc++.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cumindyke
{

/// A relay's answer if it has a path to the upstreams, but could not connect to this one.
constexpr int StatusUpstreamUnreachable = 504;

/// An HTTP request to an upstream.
struct UpstreamRequest
{
    RequestId id;
    Address address;
    /// GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS.
    std::string method;
    /// Path and query.
    std::string target;
    HeaderList headers;
    std::string body;
    /// The Host header; empty: the address.
    std::string host = {};
    /// The header that carries the request's id, and in which the upstream echoes it.
    std::string idHeader = "X-Request-Id";
    /// Accepts an answer without a length as complete when its connection is closed in order, not by a reset.
    bool allowsCloseDelimitedBody = false;
    /// A VM that opens the connection instead and passes the bytes on (RelayServer); none: the connection goes to the upstream directly.
    std::optional<Address> relay = {};
    /// Sent instead of the body, without a copy; null: the body is sent.
    std::shared_ptr<const std::string> sharedBody = {};
    /// An answer with a longer body is lost; none: any length, for an answer that is passed on as it arrives.
    std::optional<std::size_t> maxAnswerBytes = {};
};

/// Why a call got no complete answer.
enum class CallFailure {
    NotSent, ///< no byte of the request left this process, so the upstream can't have run it
    EndedUnsent, ///< as NotSent, but the connection to the upstream was open: neither the path nor the relay is to blame
    RelayFailed, ///< as NotSent, but the relay is to blame: nothing is known of the upstream
    Lost, ///< the connection ended before the answer was whole, or its bytes are no answer
    TimedOut, ///< no progress within the timeout
    MismatchedId, ///< the answer has the id of another request
};

/// Longest times without progress in the phases of a call.
struct ProgressTimeouts
{
    Duration connect = std::chrono::seconds(1);
    Duration firstByte = std::chrono::seconds(30);
    Duration betweenBytes = std::chrono::seconds(10);
};

/// One HTTP call to an upstream, on its own connection. Used by one task, in its event loop.
///
/// Exactly one of finished() and failed() is emitted, once, unless cancel() is called; no signal follows any of these. A slot may cancel or
/// destroy the call.
class UpstreamCall
{
public:
    UpstreamCall(EventLoop &loop, UpstreamRequest request, ProgressTimeouts timeouts);
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    void start();
    /// Opens the connection, but sends nothing of the request to the upstream until releaseRequest(). Call before start().
    void holdRequest();
    void releaseRequest();
    /// Closes the connection. No signal is emitted afterwards.
    void cancel();
    /// Pauses or resumes reading, to match a caller that reads slowly.
    void setPaused(bool paused);

    /// Whether any byte of the request has left this process.
    bool isSent() const;
    /// Whether an answer that has ended with its connection may be whole: the upstream's system has taken all of the request, and has not reset the connection.
    /// A process that closes its connection before it has read a long request causes a reset that follows the end, so ask some milliseconds after finished().
    bool hasIntactEnd() const;
    /// The first byte of the request has left this process.
    sigc::signal<void> &sent();
    sigc::signal<void, const AnswerHead &> &head();
    sigc::signal<void, std::string_view> &data();
    sigc::signal<void> &finished();
    sigc::signal<void, CallFailure> &failed();

private:
    class Private;
    std::shared_ptr<Private> d;
};

}

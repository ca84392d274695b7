#pragma once

#include "common/eventloop.h"
#include "common/types.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp_connection;
struct evhttp_request;
struct evbuffer_cb_info;
struct evbuffer;

namespace cumindyke
{

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// What is sent to an upstream.
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
    /// The Host header; the address when empty.
    std::string host = {};
    /// The header that carries the id, and in which the upstream echoes it.
    std::string idHeader = "X-Request-Id";
    /// An answer without a length counts as whole when its connection ends in order, not by a reset.
    bool allowsCloseDelimitedBody = false;
};

struct AnswerHead
{
    int status = 0;
    std::string contentType;
    HeaderList headers;
};

/// Why a call has no whole answer.
enum class CallFailure {
    NotSent, ///< no byte of the request left this process, so the upstream can't have run it
    Lost, ///< the connection ended, or its answer was not whole
    TimedOut, ///< no progress for the time allowed
    WrongAnswer, ///< the answer carries another request's id
};

struct ProgressTimeouts
{
    Duration connect = std::chrono::seconds(1);
    Duration firstByte = std::chrono::seconds(30);
    Duration betweenBytes = std::chrono::seconds(10);
};

/// One HTTP call to an upstream, on a connection of its own. Used by one task, in its loop.
///
/// Exactly one of finished and failed is emitted, once, and nothing after it or after cancel(). A slot may cancel or destroy the call.
class UpstreamCall
{
public:
    UpstreamCall(EventLoop &loop, UpstreamRequest request, ProgressTimeouts timeouts);
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    void start();
    /// Closes the connection; no signal follows.
    void cancel();
    /// Stops and restarts reading, for a caller that reads slowly.
    void setPaused(bool paused);

    sigc::signal<void, const AnswerHead &> &head();
    sigc::signal<void, std::string_view> &data();
    sigc::signal<void> &finished();
    sigc::signal<void, CallFailure> &failed();

private:
    class Private;
    std::shared_ptr<Private> d;
};

}

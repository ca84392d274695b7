#pragma once

#include "common/eventloop.h"
#include "common/result.h"
#include "entry/requestlifecycle.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct event;
struct evhttp_connection;
struct evhttp_request;

namespace cumindyke
{

/// A copy of an answer as a caller got it.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// One caller's HTTP request and its answer. Used in the entry task's loop only.
///
/// The answer is either one reply(), or startStream(), streamData() any number of times, and endStream(). After the caller has left,
/// every call is harmless and does nothing.
class Exchange
{
public:
    Exchange(EventLoop &loop, evhttp_request *request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    const std::string &method() const
    {
        return m_method;
    }
    /// Path without query.
    const std::string &path() const
    {
        return m_path;
    }
    /// Path and query, as the caller sent them.
    const std::string &target() const
    {
        return m_target;
    }
    const std::string &body() const
    {
        return m_body;
    }
    /// The header's value, or empty.
    std::string header(const char *name) const;

    /// Every header as it came, in order.
    std::vector<std::pair<std::string, std::string>> headers() const;

    void addHeader(const std::string &name, const std::string &value);
    void reply(int status, const std::string &contentType, std::string_view body);
    /// A JSON error with the outcome header. Retry-After goes with the kinds for which a later try may pass.
    void replyError(const Error &error, RunOutcome outcome, std::chrono::seconds retryAfter = std::chrono::seconds(1));
    void startStream(int status, const std::string &contentType);
    void streamData(std::string_view bytes);
    void endStream();
    /// Closes the caller's connection without the end of the answer, so that what was sent so far can't be taken for a whole one. Not to be
    /// called from a slot of callerDisconnected() or drained().
    void abort();
    /// Keeps a copy of the answer from now on, also after the caller has left. A copy over the limit is dropped.
    void record(std::size_t limitBytes);
    /// The copy of the whole answer, or nothing when there is none or it was too large.
    std::optional<RecordedAnswer> recorded() const;
    bool streamStarted() const
    {
        return m_streamStarted;
    }
    /// Bytes the caller has not read yet.
    std::size_t unreadBytes() const;

    /// The caller closed its connection before the answer's end.
    sigc::signal<void> &callerDisconnected()
    {
        return m_callerLeft;
    }
    /// Everything streamed so far has been written to the caller's connection.
    sigc::signal<void> &drained()
    {
        return m_drained;
    }

private:
    static void peerClosed(int fd, short what, void *self);
    static void connectionFreed(evhttp_connection *connection, void *self);
    static void written(evhttp_connection *connection, void *self);
    void left();
    void detach();
    void keepCopy(int status, const std::string &contentType);
    void keepCopy(std::string_view bytes);

    EventLoop &m_loop;
    evhttp_request *m_request;
    event *m_closedEvent = nullptr;
    std::string m_method;
    std::string m_path;
    std::string m_target;
    std::string m_body;
    std::optional<RecordedAnswer> m_record;
    /// 0: nothing is recorded.
    std::size_t m_recordLimit = 0;
    bool m_streamStarted = false;
    bool m_connectionLost = false;
    sigc::signal<void> m_callerLeft;
    sigc::signal<void> m_drained;
};

/// The HTTP status for an error's kind.
int httpStatus(ErrorKind kind);
/// {"error":{"kind":…,"message":…,"outcome":…}}
std::string errorJson(const Error &error, RunOutcome outcome);

}

#pragma once

#include "common/eventloop.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace cumindyke::test
{

/// An upstream whose answers have only the framing that the test gives them: without any they end with the connection.
class RawUpstream
{
public:
    enum class End {
        Closed, ///< in order, as a process does that has sent all
        Reset,
        ClosedThenReset, ///< in order, and reset TimeBeforeReset later
        ProcessEnded, ///< in order too, and the address refuses connections from then on
        StoppedListening, ///< in order, and the address refuses connections from the request on, while the process still runs
        Never, ///< the connection stays open
    };
    struct Answer
    {
        std::string contentType;
        std::string body;
        End end = End::Closed;
        /// Whole lines.
        std::string moreHeaders = {};
        std::string statusLine = "HTTP/1.1 200 OK";
        /// Answers when the request's head has arrived, and reads no more of the request.
        bool isEarly = false;
        /// Sent a while after the body, on the same connection; ID stands for the request's id.
        std::string late = {};
        /// Sent again and again instead of an end.
        std::string endless = {};
        /// Sent instead of a head and the body.
        std::string raw = {};
    };
    static constexpr Duration TimeBeforeReset = std::chrono::milliseconds(5);

    explicit RawUpstream(const std::string &host);
    ~RawUpstream();
    RawUpstream(const RawUpstream &) = delete;
    RawUpstream &operator=(const RawUpstream &) = delete;

    const Address &address() const
    {
        return m_address;
    }
    /// The next requests get this answer.
    void setAnswer(const Answer &answer);
    /// The next requests get the answer that the function chooses by the request's head. It runs in the upstream's thread.
    void setAnswers(std::function<Answer(const std::string &head)> choose);

private:
    class Connection;

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *from, int length, void *self);
    Answer answerTo(const std::string &head) const;
    void endProcess();
    void refuseConnections();

    Address m_address;
    EventLoop m_loop;
    evconnlistener *m_listener;
    std::vector<std::unique_ptr<Connection>> m_connections;
    mutable std::mutex m_mutex;
    std::function<Answer(const std::string &head)> m_choose;
    std::thread m_thread;
};

}

#pragma once

#include "common/eventloop.h"

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace cumindyke::test
{

/// An upstream whose answers have neither a length nor chunks: they end with the connection.
class UnframedUpstream
{
public:
    enum class End {
        Closed, ///< in order, as a process does that has sent all
        Reset,
        ProcessEnded, ///< in order too, and the address refuses connections from then on
        Never, ///< the connection stays open
    };
    struct Answer
    {
        std::string contentType;
        std::string body;
        End end = End::Closed;
    };

    explicit UnframedUpstream(const std::string &host);
    ~UnframedUpstream();
    UnframedUpstream(const UnframedUpstream &) = delete;
    UnframedUpstream &operator=(const UnframedUpstream &) = delete;

    const Address &address() const
    {
        return m_address;
    }
    /// The next requests get this answer.
    void setAnswer(const Answer &answer);

private:
    class Connection;

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *from, int length, void *self);
    Answer answer() const;
    void refuseConnections();

    Address m_address;
    EventLoop m_loop;
    evconnlistener *m_listener;
    std::vector<std::unique_ptr<Connection>> m_connections;
    mutable std::mutex m_mutex;
    Answer m_answer;
    std::thread m_thread;
};

}

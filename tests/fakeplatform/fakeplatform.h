#pragma once

#include "common/eventloop.h"
#include "common/mailbox.h"
#include "entry/httpserver.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cumindyke::test
{

/// A request that the fake upstream received.
struct SeenRequest
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const;
};

/// A fake of the users' platform for tests with real daemons: serves the list of upstreams, and one upstream that answers every path according to the
/// platform's protocol. A path that ends with "/stream" is answered with three events, 100 ms apart; one that ends with "/full" is refused without
/// running.
class FakePlatform
{
public:
    FakePlatform(const std::string &host, const std::string &instance, const std::string &service);
    ~FakePlatform();
    FakePlatform(const FakePlatform &) = delete;
    FakePlatform &operator=(const FakePlatform &) = delete;

    /// Address of both the list and the upstream.
    Address address() const
    {
        return m_address;
    }
    std::vector<SeenRequest> seen() const;
    void setState(const std::string &state);

private:
    struct Stream;

    void handleRequest(const std::shared_ptr<Exchange> &exchange);
    void replyList(Exchange &exchange) const;
    void replyUpstreamRequest(const std::shared_ptr<Exchange> &exchange);

    const std::string m_instance;
    const std::string m_service;
    Address m_address;
    EventLoop m_loop;
    std::unique_ptr<HttpServer> m_door;
    std::vector<std::unique_ptr<Stream>> m_streams;
    mutable std::mutex m_mutex;
    std::vector<SeenRequest> m_seen;
    std::string m_state = "ready";
    std::thread m_thread;
};

}

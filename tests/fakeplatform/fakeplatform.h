#pragma once

#include "common/eventloop.h"
#include "common/mailbox.h"
#include "entry/httpserver.h"
#include "upstream/upstreamcall.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cumindyke::test
{

/// A request that the fake upstream received.
struct SeenRequest
{
    /// Name of the upstream process that ran it.
    std::string upstream;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const;
};

/// A fake of the users' platform for tests with real daemons: serves the list of upstreams, and upstreams that answer every path according to the
/// platform's protocol. A path that ends with "/stream" is answered with three events, 100 ms apart, "/slow-stream" 1.4 s apart; one that ends with "/full" is
/// refused without running. A request whose body is CrashingBody, or that lists CrashingPart before the last part of its prompt, ends the process of an
/// upstream with its own address: its sockets are closed, and a successor with another name starts at the address after RestartDelay.
class FakePlatform
{
public:
    static constexpr const char *CrashingBody = "ends the process that runs it";
    static constexpr const char *CrashingPart = "dead";
    static constexpr Duration RestartDelay = std::chrono::milliseconds(1500);

    /// The first upstream shares the address of the list; the others have the addresses in "upstreamHosts" and are in the data centres in turn.
    FakePlatform(const std::string &host,
                 const std::string &instance,
                 const std::string &service,
                 const std::vector<std::string> &upstreamHosts = {},
                 const std::vector<std::string> &dataCentres = {"z-a"});
    ~FakePlatform();
    FakePlatform(const FakePlatform &) = delete;
    FakePlatform &operator=(const FakePlatform &) = delete;

    /// Address of both the list and the upstream.
    Address address() const
    {
        return m_address;
    }
    std::vector<SeenRequest> seen() const;
    /// Number of requests with CrashingPart that upstreams ran.
    std::size_t seenWithCrashingPart() const;
    void setState(const std::string &state);
    /// From now on the list also names an upstream that the test runs itself, instead of the one that shares the list's address. A later
    /// upstream with the same address replaces an earlier one.
    void addUpstream(const std::string &instance, const Address &address);
    /// From now on a page of the list has this body, and the test names the upstreams that it wants listed.
    void setListBody(const std::string &body);
    /// From now on the list gives each upstream this many slots.
    void setSlots(int slots);
    /// From now on the upstreams' answers name this limit of requests a second; empty: none.
    void setRequestLimit(const std::string &limit);
    /// From now on the upstreams with addresses of their own are cold, which the list does not show yet: a process ends that gets more requests than this
    /// within a second.
    void setColdRate(std::size_t perSecond);
    /// From now on one upstream with an address of its own refuses all requests without running them, and adds these headers; all run requests again without
    /// a name.
    void setRefusing(const std::string &instance, const HeaderList &headers = {});
    /// From now on the answers of one upstream to requests that ran have these headers too.
    void setAnswerHeaders(const std::string &instance, const HeaderList &headers);
    /// When the refusing upstream refused requests.
    std::vector<TimePoint> refusals() const;
    /// The names of the upstreams in a data centre.
    std::vector<std::string> upstreamsIn(const std::string &dataCentre) const;
    Address addressOf(const std::string &instance) const;
    /// Number of upstream processes that a request has ended.
    int endedCount() const;

private:
    struct Stream;
    /// An upstream with its own address.
    struct Upstream
    {
        std::string instance;
        Address address;
        std::string dataCentre;
        int starts = 0;
        /// When the last requests arrived.
        std::deque<TimePoint> arrivals;
        /// Null while no process runs.
        std::unique_ptr<HttpServer> door;
        std::unique_ptr<Timer> timer;
        /// Requests that will end the process.
        std::vector<std::shared_ptr<Exchange>> crashing;
    };

    void handleRequest(const std::shared_ptr<Exchange> &exchange);
    void replyList(Exchange &exchange) const;
    bool refuse(const std::string &instance, Exchange &exchange);
    void replyUpstreamRequest(const std::string &instance, const std::shared_ptr<Exchange> &exchange);
    void start(Upstream &upstream);
    void end(Upstream &upstream);
    bool exceedsColdRate(Upstream &upstream);
    void handleUpstreamRequest(Upstream &upstream, const std::shared_ptr<Exchange> &exchange);

    const std::string m_instance;
    const std::string m_service;
    Address m_address;
    EventLoop m_loop;
    std::unique_ptr<HttpServer> m_door;
    std::vector<std::unique_ptr<Stream>> m_streams;
    mutable std::mutex m_mutex;
    std::vector<SeenRequest> m_seen;
    std::string m_state = "ready";
    int m_slots = 4;
    std::optional<std::string> m_listBody;
    std::string m_requestLimit;
    std::optional<std::size_t> m_coldRate;
    std::string m_refusingInstance;
    HeaderList m_refusalHeaders;
    std::vector<TimePoint> m_refusals;
    std::string m_instanceWithHeaders;
    HeaderList m_answerHeaders;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::vector<std::pair<std::string, Address>> m_otherUpstreams;
    int m_endedCount = 0;
    std::thread m_thread;
};

}

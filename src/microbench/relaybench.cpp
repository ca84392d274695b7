// Measures what a request costs in processor time with and without a relay; caller, relay and upstream share one thread.

#include "entry/httpserver.h"
#include "relay/relayserver.h"
#include "upstream/upstreamcall.h"

#include <benchmark/benchmark.h>

using namespace cumindyke;

namespace
{

const std::string Host = "127.0.0.1";
constexpr std::size_t EventBytes = 200;

/// An upstream that streams as many events as the path names, one at a time.
class Upstream
{
public:
    explicit Upstream(EventLoop &loop)
        : m_timer(loop, [this] { next(); })
    {
        auto door = HttpServer::listen(loop, Address{.host = Host, .port = 0}, std::chrono::seconds(5));
        m_door = std::move(valueOf(door));
        m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) { begin(exchange); });
    }

    Address address() const
    {
        return Address{.host = Host, .port = m_door->port()};
    }

private:
    void begin(const std::shared_ptr<Exchange> &exchange)
    {
        m_exchange = exchange;
        m_remaining = std::stoi(exchange->path().substr(1));
        exchange->startStream(200, "text/event-stream");
        m_timer.startOnce(Duration::zero());
    }
    void next()
    {
        if (m_remaining-- == 0) {
            m_exchange->endStream();
            return;
        }
        m_exchange->streamData(std::string(EventBytes, 'x'));
        m_timer.startOnce(std::chrono::microseconds(100));
    }

    std::unique_ptr<HttpServer> m_door;
    std::shared_ptr<Exchange> m_exchange;
    int m_remaining = 0;
    Timer m_timer;
};

/// One request for so many events; the difference of the two is the relay's part and the caller's CONNECT.
void request(benchmark::State &state, bool isRelayed)
{
    EventLoop loop;
    Metrics metrics;
    Upstream upstream(loop);
    const Address relayAddress{.host = Host, .port = 17614};
    auto relay = RelayServer::listen(loop, RelayServerOptions{.address = relayAddress, .connectTimeout = std::chrono::seconds(1)}, metrics);
    if (!ok(relay)) {
        state.SkipWithError(errorOf(relay).message.c_str());
        return;
    }
    for (auto _ : state) {
        UpstreamCall call(loop,
                          UpstreamRequest{
                              .id = RequestId{"r"},
                              .address = upstream.address(),
                              .method = "POST",
                              .target = "/" + std::to_string(state.range(0)),
                              .headers = {},
                              .body = std::string(1000, 'x'),
                              .relay = isRelayed ? std::optional(relayAddress) : std::nullopt,
                          },
                          {});
        call.finished().connect([&] { loop.stop(); });
        call.failed().connect([&](CallFailure) {
            state.SkipWithError("a call failed");
            loop.stop();
        });
        call.start();
        loop.run();
    }
}

void directRequest(benchmark::State &state)
{
    request(state, false);
}
BENCHMARK(directRequest)->Arg(1)->Arg(100);

void relayedRequest(benchmark::State &state)
{
    request(state, true);
}
BENCHMARK(relayedRequest)->Arg(1)->Arg(100);

}

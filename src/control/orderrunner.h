#pragma once

#include "common/eventloop.h"
#include "control/orders.h"
#include "domain/declarations.h"
#include "upstream/upstreamcall.h"

#include <memory>
#include <optional>

namespace cumindyke
{

/// Executes the steps of the order book over HTTP in the event loop of the owning task: GET /load queries an upstream's state, POST /orders sends it
/// an order. Each model upstream is ordered to load its declared version.
class OrderRunner
{
public:
    OrderRunner(EventLoop &loop, OrderOptions options, std::uint64_t seed);
    ~OrderRunner();
    OrderRunner(const OrderRunner &) = delete;
    OrderRunner &operator=(const OrderRunner &) = delete;

    void startLeading(Epoch epoch, TimePoint formerLeaderUntil);
    void stopLeading();
    void setDeclarations(const Declarations &declarations);
    /// To be called often while this VM can prove that it leads.
    void tick(TimePoint now);

private:
    struct Call
    {
        OrderStep step;
        std::unique_ptr<UpstreamCall> call;
        int status = 0;
        std::string body;
    };

    void startCall(const OrderStep &step);
    void onCallEnded(std::uint64_t number, bool complete);

    EventLoop &m_loop;
    OrderBook m_orderBook;
    std::map<UpstreamName, Address> m_addresses;
    std::uint64_t m_nextCall = 0;
    std::map<std::uint64_t, Call> m_calls;
    /// Ended calls whose signals may still be running; freed by the next tick.
    std::vector<Call> m_endedCalls;
};

/// Parses the answer to GET /load: {"version": …, "loading": …}. Returns no value if it names no version; such an upstream gets no orders.
std::optional<LoadedState> parseLoadedState(const std::string &json);

}

#pragma once

#include "common/eventloop.h"
#include "control/orders.h"
#include "domain/declarations.h"
#include "upstream/upstreamcall.h"

#include <memory>
#include <optional>

namespace cumindyke
{

/// Carries out the order book's steps over HTTP, in the loop of the task that owns it: GET /load asks an upstream what it has,
/// POST /orders gives it an order. What each model upstream is declared to have is what it is ordered to load.
class OrderRunner
{
public:
    OrderRunner(EventLoop &loop, OrderOptions options, std::uint64_t seed);
    ~OrderRunner();
    OrderRunner(const OrderRunner &) = delete;
    OrderRunner &operator=(const OrderRunner &) = delete;

    void lead(Epoch epoch, TimePoint formerLeaderUntil);
    void stopLeading();
    void declared(const Declarations &declarations);
    /// Call often, while this VM can prove that it leads.
    void tick(TimePoint now);

private:
    struct Call
    {
        OrderStep step;
        std::unique_ptr<UpstreamCall> call;
        int status = 0;
        std::string body;
    };

    void start(const OrderStep &step);
    void ended(std::uint64_t number, bool whole);

    EventLoop &m_loop;
    OrderBook m_book;
    std::map<UpstreamName, Address> m_addresses;
    std::uint64_t m_nextCall = 0;
    std::map<std::uint64_t, Call> m_calls;
    /// Ended calls, whose signals may still be under way; freed by the next tick.
    std::vector<Call> m_endedCalls;
};

/// What GET /load says: {"version": …, "loading": …}. Nothing, when it names no version: such an upstream is given no orders.
std::optional<LoadedState> parseLoadedState(const std::string &json);

}

#pragma once

#include "common/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace cumindyke
{

enum class OrderKind {
    LoadVersion, ///< load a version of the model and serve it
    LoadAdapter, ///< load an adapter beside the model
    ChangeRole, ///< for example from prefill to decode
};

const char *toString(OrderKind kind);

/// What an upstream is to do. One order at a time is wanted of an upstream; a newer one takes the place of the one before.
struct Order
{
    UpstreamName upstream;
    OrderKind kind = OrderKind::LoadVersion;
    /// The version, adapter or role.
    std::string argument;

    bool operator==(const Order &) const = default;
};

struct OrderOptions
{
    /// Loads that the weight store feeds at the same time, over all upstreams.
    std::size_t loadsAtOnce = 2;
    /// Least time between the starts of two loads: the weight store's limit.
    Duration loadInterval = std::chrono::seconds(1);
    /// The longest that an order may be on its way, until which an upstream may still take it.
    Duration longestOrder = std::chrono::seconds(5);
    /// An upstream that took an order says within this time that it loads.
    Duration reportLag = std::chrono::seconds(5);
    /// The longest that a load may take before it is tried again.
    Duration longestLoad = std::chrono::minutes(10);
    /// Upstreams that are asked at the same time.
    std::size_t asksAtOnce = 64;
    /// How often an upstream that has what it should is asked again: it may have restarted with something else.
    Duration reviewInterval = std::chrono::minutes(5);
    Duration firstBackoff = std::chrono::seconds(1);
    Duration longestBackoff = std::chrono::seconds(60);
};

/// What an upstream says of itself.
struct LoadedState
{
    /// What it has loaded, or its role, by the kind of the order that is wanted.
    std::string argument;
    /// A load is under way. An upstream must say so as long as it carries out an order: it is all that tells a lost answer from a lost order.
    bool loading = false;
};

/// What the leader does next for an upstream.
struct OrderStep
{
    enum class Action {
        Ask, ///< read the upstream's state
        Send, ///< give the order
    };
    Action action = Action::Ask;
    Order order;
    Epoch epoch;
};

/// How the leader gives orders: at most one leader at a time, no load twice, no more loads at once than the weight store stands.
///
/// An order has no record in the log of its progress. Instead every attempt begins by asking the upstream what it has, so that a new
/// leader, a lost answer and a restart are one case: what is loaded or loading already is not ordered again.
///
/// A new leader first waits until a former one has certainly stopped (its lease) and its last order has certainly arrived or vanished
/// (longestOrder): only then does what an upstream says of itself stay true between the question and the order. That holds for
/// upstreams that check no fence too. The epoch, which grows with each leader and goes with each order, guards against what time can't:
/// a process that was stopped between looking at its lease and sending. Upstreams that check it refuse such an order.
class OrderBook
{
public:
    OrderBook(OrderOptions options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    {
    }

    /// This VM began to lead. formerLeaderUntil is when a former leader has certainly stopped giving orders.
    void lead(Epoch epoch, TimePoint formerLeaderUntil);
    void stopLeading();
    /// What upstreams are to have from now on. Orders that are wanted no more are dropped; one under way is left to end.
    void want(const std::vector<Order> &orders);

    /// What to do now. Each step is answered by state(), sent() or failed() in the end; this VM must not give the order after its
    /// lease has ended.
    std::vector<OrderStep> due(TimePoint now);
    /// The upstream's answer to Ask.
    void state(const UpstreamName &upstream, const LoadedState &state, TimePoint now);
    /// The upstream took the order (Send).
    void sent(const UpstreamName &upstream, TimePoint now);
    /// No answer, or a failure: the order may have been taken or not.
    void failed(const UpstreamName &upstream, TimePoint now);
    /// The upstream refused the epoch as old: another VM leads, and this one gives no orders any more.
    void refusedEpoch();

    /// Orders that are wanted and not yet seen done.
    std::size_t open() const;
    bool done(const UpstreamName &upstream) const;

private:
    enum class Phase {
        Waiting, ///< for the time of the next attempt
        Asking,
        Ready, ///< asked, and neither loaded nor loading: may be sent when the weight store allows
        Sending,
        Loading, ///< the upstream has the order; asked again until it is done
        Done, ///< asked again now and then
    };
    struct Entry
    {
        Order order;
        Phase phase = Phase::Waiting;
        TimePoint next{};
        TimePoint loadingSince{};
        int failures = 0;
    };

    Duration backoff(int failures);
    bool storeAllows(TimePoint now) const;

    const OrderOptions m_options;
    std::mt19937_64 m_random;
    bool m_leads = false;
    Epoch m_epoch;
    TimePoint m_formerUntil{};
    TimePoint m_nextLoad{};
    std::map<UpstreamName, Entry> m_entries;
};

}

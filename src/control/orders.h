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

/// What an upstream is to load or become. An upstream has one order at a time; a newer order replaces the one before.
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
    /// Limit on concurrent loads from the weight store, over all upstreams.
    std::size_t maxConcurrentLoads = 2;
    /// Smallest time between the starts of two loads: the weight store's limit.
    Duration minLoadInterval = std::chrono::seconds(1);
    /// Time until which an order in flight may still arrive at its upstream.
    Duration orderTimeout = std::chrono::seconds(5);
    /// An upstream that accepted an order reports the load within this time.
    Duration loadReportTimeout = std::chrono::seconds(5);
    /// Time after which an unfinished load is tried again.
    Duration loadTimeout = std::chrono::minutes(10);
    /// Limit on concurrent queries.
    std::size_t maxConcurrentQueries = 64;
    /// Time between two queries of an upstream whose order is done: it may have restarted in another state.
    Duration recheckInterval = std::chrono::minutes(5);
    Duration minBackoff = std::chrono::seconds(1);
    Duration maxBackoff = std::chrono::seconds(60);
};

/// The state that an upstream reports.
struct LoadedState
{
    /// The loaded version or adapter, or the role, by the kind of the order.
    std::string argument;
    /// A load is in progress. An upstream must report this while it carries out an order: nothing else distinguishes a lost answer from a lost order.
    bool loading = false;
};

/// The next step of the leader for an upstream.
struct OrderStep
{
    enum class Action {
        Query, ///< read the upstream's state
        Send, ///< send the order
    };
    Action action = Action::Query;
    Order order;
    Epoch epoch;
};

/// Schedules the leader's orders: at most one leader gives orders at a time, no version is loaded twice, and no more loads run at once than the
/// weight store can serve.
///
/// The log has no record of an order's progress. Instead every attempt begins with a query of the upstream's state, so that a new leader, a lost
/// answer and a restart are handled alike: what is loaded or loading is not ordered again.
///
/// A new leader first waits until the former one has certainly stopped (its lease) and its last order has certainly arrived or been lost
/// (orderTimeout). Only then is the reported state still valid when the order is sent; this also holds for upstreams that check no fence. The epoch,
/// which grows with each leader and is sent with each order, covers what a wait can't: a process that was stopped between checking its lease and
/// sending. Upstreams that check the epoch refuse such an order.
class OrderBook
{
public:
    OrderBook(OrderOptions options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    {
    }

    /// Starts the leadership of this VM. formerLeaderUntil: when a former leader has certainly stopped giving orders.
    void startLeading(Epoch epoch, TimePoint formerLeaderUntil);
    void stopLeading();
    /// Replaces the orders. An order that is no longer in the list is dropped; if it is in flight, it is not cancelled and its outcome is ignored.
    void setOrders(const std::vector<Order> &orders);

    /// Returns the steps to take now. Each step ends with a call of handleState(), handleAccepted() or handleFailure(). This VM must not send an
    /// order after its lease has ended.
    std::vector<OrderStep> dueSteps(TimePoint now);
    /// Handles an upstream's answer to Query.
    void handleState(const UpstreamName &upstream, const LoadedState &state, TimePoint now);
    /// Handles an order (Send) that the upstream accepted.
    void handleAccepted(const UpstreamName &upstream, TimePoint now);
    /// Handles a step without an answer or with a failure: an order may have been accepted or not.
    void handleFailure(const UpstreamName &upstream, TimePoint now);
    /// Handles an order that an upstream refused because of an older epoch: another VM leads, so this one stops giving orders.
    void handleEpochRefused();

    /// Returns the number of orders that are not known to be done.
    std::size_t openCount() const;
    bool isDone(const UpstreamName &upstream) const;

private:
    enum class Phase {
        Waiting, ///< until the time of the next attempt
        Querying,
        Ready, ///< neither loaded nor loading: sent when the weight store allows
        Sending,
        Loading, ///< accepted by the upstream; queried until the load is done
        Done, ///< queried each recheckInterval
    };
    struct Entry
    {
        Order order;
        Phase phase = Phase::Waiting;
        TimePoint nextAttemptAt{};
        TimePoint loadingSince{};
        int failures = 0;
    };

    Duration backoff(int failures);
    bool weightStoreAllows(TimePoint now) const;

    const OrderOptions m_options;
    std::mt19937_64 m_random;
    bool m_isLeading = false;
    Epoch m_epoch;
    TimePoint m_formerLeaderUntil{};
    TimePoint m_nextLoadAt{};
    std::map<UpstreamName, Entry> m_entries;
};

}

#include "control/orders.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Time between two queries of an upstream that is loading.
constexpr Duration LoadPollInterval = std::chrono::seconds(1);

}

const char *toString(OrderKind kind)
{
    switch (kind) {
    case OrderKind::LoadVersion:
        return "load-version";
    case OrderKind::LoadAdapter:
        return "load-adapter";
    case OrderKind::ChangeRole:
        return "change-role";
    }
    return "load-version";
}

void OrderBook::startLeading(Epoch epoch, TimePoint formerLeaderUntil)
{
    m_isLeading = true;
    m_epoch = epoch;
    m_formerLeaderUntil = formerLeaderUntil;
    // The weight store may still serve loads that a former leader ordered: each upstream is queried before an order is sent.
    for (auto &[name, entry] : m_entries) {
        entry = Entry{.order = entry.order};
    }
}

void OrderBook::stopLeading()
{
    m_isLeading = false;
}

void OrderBook::handleEpochRefused()
{
    stopLeading();
}

void OrderBook::setOrders(const std::vector<Order> &orders)
{
    std::map<UpstreamName, Entry> entries;
    for (const Order &order : orders) {
        const auto known = m_entries.find(order.upstream);
        const bool isUnchanged = known != m_entries.end() && known->second.order == order;
        entries.emplace(order.upstream, isUnchanged ? known->second : Entry{.order = order});
    }
    m_entries.swap(entries);
}

bool OrderBook::weightStoreAllows(TimePoint now) const
{
    const auto loads = std::ranges::count_if(m_entries, [](const auto &item) {
        const Entry &entry = item.second;
        return entry.order.kind != OrderKind::ChangeRole && (entry.phase == Phase::Sending || entry.phase == Phase::Loading);
    });
    return now >= m_nextLoadAt && static_cast<std::size_t>(loads) < m_options.maxConcurrentLoads;
}

std::vector<OrderStep> OrderBook::dueSteps(TimePoint now)
{
    std::vector<OrderStep> steps;
    if (!m_isLeading || now < m_formerLeaderUntil + m_options.orderTimeout) {
        return steps;
    }
    // Step 1. Query first, also upstreams that are loading: loads that a former leader ordered count against the weight store's limit.
    bool allQueried = true;
    auto queryCount = static_cast<std::size_t>(std::ranges::count_if(m_entries, [](const auto &item) { return item.second.phase == Phase::Querying; }));
    for (auto &[name, entry] : m_entries) {
        const bool mayQuery = entry.phase == Phase::Waiting || entry.phase == Phase::Loading || entry.phase == Phase::Done;
        if (mayQuery && now >= entry.nextAttemptAt && queryCount < m_options.maxConcurrentQueries) {
            ++queryCount;
            steps.push_back(OrderStep{.action = OrderStep::Action::Query, .order = entry.order, .epoch = m_epoch});
            entry.nextAttemptAt = now + LoadPollInterval;
            entry.phase = entry.phase == Phase::Waiting ? Phase::Querying : entry.phase;
        }
        const bool isUnknown = entry.phase == Phase::Waiting || entry.phase == Phase::Querying;
        allQueried = allQueried && (!isUnknown || entry.failures > 0);
    }
    // Step 2. Send the orders of upstreams that are neither loaded nor loading, as fast as the weight store allows.
    for (auto &[name, entry] : m_entries) {
        if (entry.phase != Phase::Ready) {
            continue;
        }
        const bool isLoad = entry.order.kind != OrderKind::ChangeRole;
        if (isLoad && (!allQueried || !weightStoreAllows(now))) {
            continue;
        }
        entry.phase = Phase::Sending;
        if (isLoad) {
            m_nextLoadAt = now + m_options.minLoadInterval;
        }
        steps.push_back(OrderStep{.action = OrderStep::Action::Send, .order = entry.order, .epoch = m_epoch});
    }
    return steps;
}

void OrderBook::handleState(const UpstreamName &upstream, const LoadedState &state, TimePoint now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || found->second.phase == Phase::Waiting || found->second.phase == Phase::Sending) {
        return;
    }
    Entry &entry = found->second;
    if (state.argument == entry.order.argument && !state.loading) {
        entry.phase = Phase::Done;
        entry.failures = 0;
        entry.nextAttemptAt = now + m_options.recheckInterval;
        return;
    }
    if (state.loading) {
        if (entry.phase != Phase::Loading) {
            entry.phase = Phase::Loading;
            entry.loadingSince = now;
        }
        entry.nextAttemptAt = now + LoadPollInterval;
        return;
    }
    if (entry.phase == Phase::Loading && now < entry.loadingSince + m_options.loadReportTimeout) {
        entry.nextAttemptAt = now + LoadPollInterval;
        return;
    }
    if (entry.phase == Phase::Loading) {
        // The upstream accepted the order and aborted it.
        entry.phase = Phase::Waiting;
        entry.nextAttemptAt = now + backoff(entry.failures++);
        return;
    }
    entry.phase = Phase::Ready;
}

void OrderBook::handleAccepted(const UpstreamName &upstream, TimePoint now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || found->second.phase != Phase::Sending) {
        return;
    }
    found->second.phase = Phase::Loading;
    found->second.loadingSince = now;
    found->second.nextAttemptAt = now + LoadPollInterval;
}

void OrderBook::handleFailure(const UpstreamName &upstream, TimePoint now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end()) {
        return;
    }
    Entry &entry = found->second;
    if (entry.phase == Phase::Done) {
        entry.nextAttemptAt = now + m_options.recheckInterval;
        return;
    }
    // A failed query does not mean that the load failed: the load is tried again only after loadTimeout.
    if (entry.phase == Phase::Loading && now < entry.loadingSince + m_options.loadTimeout) {
        entry.nextAttemptAt = now + LoadPollInterval;
        return;
    }
    // An order without an answer may still arrive: the upstream is queried only once the order has arrived or been lost.
    const Duration timeInFlight = entry.phase == Phase::Sending ? m_options.orderTimeout : Duration::zero();
    entry.phase = Phase::Waiting;
    entry.nextAttemptAt = now + std::max(timeInFlight, backoff(entry.failures));
    ++entry.failures;
}

/// Doubles with each failure and has jitter over its second half, so that upstreams that failed at the same time are not retried at the same time.
Duration OrderBook::backoff(int failures)
{
    constexpr int MaxDoublings = 16;
    const Duration fullBackoff = std::min(m_options.maxBackoff, m_options.minBackoff * (1 << std::min(failures, MaxDoublings)));
    const auto half = static_cast<std::uint64_t>(fullBackoff.count() / 2);
    return Duration(static_cast<Duration::rep>(half + m_random() % (half + 1)));
}

std::size_t OrderBook::openCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_entries, [](const auto &item) { return item.second.phase != Phase::Done; }));
}

bool OrderBook::isDone(const UpstreamName &upstream) const
{
    const auto found = m_entries.find(upstream);
    return found != m_entries.end() && found->second.phase == Phase::Done;
}

}

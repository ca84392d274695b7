#include "control/orders.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Between two looks at a load that is under way.
constexpr Duration LookInterval = std::chrono::seconds(1);

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

void OrderBook::lead(Epoch epoch, TimePoint formerLeaderUntil)
{
    m_leads = true;
    m_epoch = epoch;
    m_formerUntil = formerLeaderUntil;
    // The weight store may still feed what a former leader ordered: each upstream is asked before anything is sent.
    for (auto &[name, entry] : m_entries) {
        entry = Entry{.order = entry.order};
    }
}

void OrderBook::stopLeading()
{
    m_leads = false;
}

void OrderBook::refusedEpoch()
{
    stopLeading();
}

void OrderBook::want(const std::vector<Order> &orders)
{
    std::map<UpstreamName, Entry> entries;
    for (const Order &order : orders) {
        const auto known = m_entries.find(order.upstream);
        const bool same = known != m_entries.end() && known->second.order == order;
        entries.emplace(order.upstream, same ? known->second : Entry{.order = order});
    }
    m_entries.swap(entries);
}

bool OrderBook::storeAllows(TimePoint now) const
{
    const auto loads = std::ranges::count_if(m_entries, [](const auto &held) {
        const Entry &entry = held.second;
        return entry.order.kind != OrderKind::ChangeRole && (entry.phase == Phase::Sending || entry.phase == Phase::Loading);
    });
    return now >= m_nextLoad && static_cast<std::size_t>(loads) < m_options.loadsAtOnce;
}

std::vector<OrderStep> OrderBook::due(TimePoint now)
{
    std::vector<OrderStep> steps;
    if (!m_leads || now < m_formerUntil + m_options.longestOrder) {
        return steps;
    }
    // Step 1. Ask before anything else, also those that are loading: loads that a former leader began count against the weight store.
    bool allAsked = true;
    auto asking = static_cast<std::size_t>(std::ranges::count_if(m_entries, [](const auto &held) { return held.second.phase == Phase::Asking; }));
    for (auto &[name, entry] : m_entries) {
        const bool mayAsk = entry.phase == Phase::Waiting || entry.phase == Phase::Loading || entry.phase == Phase::Done;
        if (mayAsk && now >= entry.next && asking < m_options.asksAtOnce) {
            ++asking;
            steps.push_back(OrderStep{.action = OrderStep::Action::Ask, .order = entry.order, .epoch = m_epoch});
            entry.next = now + LookInterval;
            entry.phase = entry.phase == Phase::Waiting ? Phase::Asking : entry.phase;
        }
        const bool unknown = entry.phase == Phase::Waiting || entry.phase == Phase::Asking;
        allAsked = allAsked && (!unknown || entry.failures > 0);
    }
    // Step 2. Send what was found neither loaded nor loading, as fast as the weight store stands.
    for (auto &[name, entry] : m_entries) {
        if (entry.phase != Phase::Ready) {
            continue;
        }
        const bool load = entry.order.kind != OrderKind::ChangeRole;
        if (load && (!allAsked || !storeAllows(now))) {
            continue;
        }
        entry.phase = Phase::Sending;
        if (load) {
            m_nextLoad = now + m_options.loadInterval;
        }
        steps.push_back(OrderStep{.action = OrderStep::Action::Send, .order = entry.order, .epoch = m_epoch});
    }
    return steps;
}

void OrderBook::state(const UpstreamName &upstream, const LoadedState &state, TimePoint now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || found->second.phase == Phase::Waiting || found->second.phase == Phase::Sending) {
        return;
    }
    Entry &entry = found->second;
    if (state.argument == entry.order.argument && !state.loading) {
        entry.phase = Phase::Done;
        entry.failures = 0;
        entry.next = now + m_options.reviewInterval;
        return;
    }
    if (state.loading) {
        if (entry.phase != Phase::Loading) {
            entry.phase = Phase::Loading;
            entry.loadingSince = now;
        }
        entry.next = now + LookInterval;
        return;
    }
    if (entry.phase == Phase::Loading && now < entry.loadingSince + m_options.reportLag) {
        entry.next = now + LookInterval;
        return;
    }
    if (entry.phase == Phase::Loading) {
        // It took the order and gave it up.
        entry.phase = Phase::Waiting;
        entry.next = now + backoff(entry.failures++);
        return;
    }
    entry.phase = Phase::Ready;
}

void OrderBook::sent(const UpstreamName &upstream, TimePoint now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || found->second.phase != Phase::Sending) {
        return;
    }
    found->second.phase = Phase::Loading;
    found->second.loadingSince = now;
    found->second.next = now + LookInterval;
}

void OrderBook::failed(const UpstreamName &upstream, TimePoint now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end()) {
        return;
    }
    Entry &entry = found->second;
    if (entry.phase == Phase::Done) {
        entry.next = now + m_options.reviewInterval;
        return;
    }
    // A look that failed says nothing about the load; the load is given up only after the longest time.
    if (entry.phase == Phase::Loading && now < entry.loadingSince + m_options.longestLoad) {
        entry.next = now + LookInterval;
        return;
    }
    // An order without an answer may still arrive: it is asked about only once it has arrived or vanished.
    const Duration underWay = entry.phase == Phase::Sending ? m_options.longestOrder : Duration::zero();
    entry.phase = Phase::Waiting;
    entry.next = now + std::max(underWay, backoff(entry.failures));
    ++entry.failures;
}

/// Doubles with each failure, and is spread over its second half, so that upstreams that failed together do not come back together.
Duration OrderBook::backoff(int failures)
{
    constexpr int MostDoublings = 16;
    const Duration whole = std::min(m_options.longestBackoff, m_options.firstBackoff * (1 << std::min(failures, MostDoublings)));
    const auto half = static_cast<std::uint64_t>(whole.count() / 2);
    return Duration(static_cast<Duration::rep>(half + m_random() % (half + 1)));
}

std::size_t OrderBook::open() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_entries, [](const auto &held) { return held.second.phase != Phase::Done; }));
}

bool OrderBook::done(const UpstreamName &upstream) const
{
    const auto found = m_entries.find(upstream);
    return found != m_entries.end() && found->second.phase == Phase::Done;
}

}

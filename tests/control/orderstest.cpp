#include "control/orders.h"

#include <catch2/catch.hpp>

#include <queue>
#include <set>

using namespace cumindyke;

namespace
{

constexpr Duration Step = std::chrono::milliseconds(100);

struct Engine
{
    std::string loaded = "v1";
    std::optional<std::string> loading;
    TimePoint loadedAt{};
    std::uint64_t highestEpoch = 0;
    bool checksFence = false;
    int loads = 0;
};

/// Simulates engines and leaders that send them orders over a network that loses orders and answers and delays them by up to orderTimeout. A replaced
/// leader continues until its lease has ended.
class OrderSimulation
{
public:
    OrderSimulation(std::uint64_t seed, int engines)
        : m_random(seed)
    {
        for (int i = 0; i < engines; ++i) {
            const UpstreamName name{"runner-" + std::to_string(i)};
            m_engines[name].checksFence = i % 2 == 0;
            m_orders.push_back(Order{.upstream = name, .kind = OrderKind::LoadVersion, .argument = "v2"});
        }
    }

    void elect(Duration formerLease)
    {
        m_formerLeader = std::move(m_leader);
        m_formerLeaderUntil = m_now + formerLease;
        m_leader = std::make_unique<OrderBook>(m_options, m_random());
        m_leader->setOrders(m_orders);
        m_leader->startLeading(Epoch{++m_epoch}, m_formerLeaderUntil);
    }

    void step()
    {
        m_now += Step;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto event = m_events.begin()->second;
            m_events.erase(m_events.begin());
            event();
        }
        for (auto &[name, engine] : m_engines) {
            if (engine.loading && m_now >= engine.loadedAt) {
                engine.loaded = *engine.loading;
                engine.loading.reset();
            }
        }
        runSteps(m_leader.get());
        if (m_now < m_formerLeaderUntil) {
            runSteps(m_formerLeader.get());
        }
        maxLoading = std::max(maxLoading, countLoading());
    }

    void run(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            step();
        }
    }

    std::mt19937_64 &random()
    {
        return m_random;
    }
    const std::map<UpstreamName, Engine> &engines() const
    {
        return m_engines;
    }
    const OrderBook &leader() const
    {
        return *m_leader;
    }

    int lossPermille = 0;
    int duplicateLoads = 0;
    std::size_t maxLoading = 0;

private:
    std::size_t countLoading() const
    {
        std::size_t count = 0;
        for (const auto &[name, engine] : m_engines) {
            count += engine.loading ? 1 : 0;
        }
        return count;
    }
    bool isLost()
    {
        return m_random() % 1000 < static_cast<std::uint64_t>(lossPermille);
    }
    Duration delay(Duration maxLength)
    {
        return Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(maxLength.count())));
    }
    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    void runSteps(OrderBook *book)
    {
        if (!book) {
            return;
        }
        for (const OrderStep &step : book->dueSteps(m_now)) {
            // An answer to a leader that has stopped is dropped.
            const auto isCurrent = [this, book] { return book == m_leader.get() || (book == m_formerLeader.get() && m_now < m_formerLeaderUntil); };
            const UpstreamName name = step.order.upstream;
            const auto fail = [this, book, name, isCurrent] {
                if (isCurrent()) {
                    book->handleFailure(name, m_now);
                }
            };
            if (isLost()) {
                after(m_options.orderTimeout, fail);
                continue;
            }
            const bool answerLost = isLost();
            after(delay(answerLost ? m_options.orderTimeout : std::chrono::seconds(1)), [=, this] { deliver(step, book, answerLost, isCurrent); });
            // The connection may fail before the order arrives.
            if (answerLost) {
                after(delay(m_options.orderTimeout), fail);
            }
        }
    }

    void deliver(const OrderStep &step, OrderBook *book, bool answerLost, const std::function<bool()> &isCurrent)
    {
        Engine &engine = m_engines[step.order.upstream];
        if (step.action == OrderStep::Action::Query) {
            if (!answerLost && isCurrent()) {
                book->handleState(step.order.upstream, LoadedState{.argument = engine.loaded, .loading = engine.loading.has_value()}, m_now);
            }
            return;
        }
        if (engine.checksFence && step.epoch.value < engine.highestEpoch) {
            return;
        }
        engine.highestEpoch = std::max(engine.highestEpoch, step.epoch.value);
        duplicateLoads += engine.loading || engine.loaded == step.order.argument ? 1 : 0;
        engine.loading = step.order.argument;
        engine.loadedAt = m_now + std::chrono::seconds(3) + delay(std::chrono::seconds(20));
        ++engine.loads;
        if (!answerLost && isCurrent()) {
            book->handleAccepted(step.order.upstream, m_now);
        }
    }

    OrderOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    std::map<UpstreamName, Engine> m_engines;
    std::vector<Order> m_orders;
    std::uint64_t m_epoch = 0;
    std::unique_ptr<OrderBook> m_leader;
    std::unique_ptr<OrderBook> m_formerLeader;
    TimePoint m_formerLeaderUntil{};
    std::multimap<TimePoint, std::function<void()>> m_events;
};

}

// Leaders change while upstreams load, orders and answers are lost or delayed, and a former leader continues until its lease ends. Engines, half of
// which check no fence, must not load a version twice, since a load takes the engine out of service and uses the weight store; in the end all engines
// must have it.
TEST_CASE("each order is carried out once despite lost answers and leader changes")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        OrderSimulation simulation(seed, 8);
        simulation.lossPermille = 150;
        simulation.elect(Duration::zero());
        for (int change = 0; change < 4; ++change) {
            simulation.run(std::chrono::milliseconds(simulation.random()() % 40'000));
            simulation.elect(std::chrono::milliseconds(simulation.random()() % 2'000));
        }
        simulation.run(std::chrono::minutes(10));
        INFO("seed " << seed);
        CHECK(simulation.duplicateLoads == 0);
        CHECK(simulation.leader().openCount() == 0);
        for (const auto &[name, engine] : simulation.engines()) {
            CHECK(engine.loaded == "v2");
            CHECK(engine.loads == 1);
        }
    }
}

// The weight store serves two loads at a time. A new leader must count the loads that the former one ordered, or four would run at once.
TEST_CASE("no more loads run at once than the weight store allows, also after a leader change")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        OrderSimulation simulation(seed, 10);
        simulation.elect(Duration::zero());
        simulation.run(std::chrono::milliseconds(10'000 + simulation.random()() % 20'000));
        simulation.elect(std::chrono::seconds(2));
        simulation.run(std::chrono::minutes(5));
        INFO("seed " << seed);
        CHECK(simulation.maxLoading == OrderOptions{}.maxConcurrentLoads);
        CHECK(simulation.leader().openCount() == 0);
    }
}

TEST_CASE("a leader whose epoch was refused sends no more orders")
{
    OrderBook book({}, 1);
    const TimePoint start{std::chrono::hours(1)};
    book.setOrders({Order{.upstream = UpstreamName{"runner"}, .argument = "v2"}});
    book.startLeading(Epoch{3}, start);
    REQUIRE(book.dueSteps(start + std::chrono::seconds(5)).size() == 1);
    book.handleEpochRefused();
    CHECK(book.dueSteps(start + std::chrono::hours(1)).empty());
}

TEST_CASE("attempts after failures have jitter and exponential backoff")
{
    OrderBook book({}, 1);
    TimePoint now{std::chrono::hours(1)};
    book.setOrders({Order{.upstream = UpstreamName{"runner"}, .argument = "v2"}});
    book.startLeading(Epoch{1}, now);
    std::vector<int> gaps;
    int gap = 0;
    for (int second = 0; second < 400; ++second) {
        now += std::chrono::seconds(1);
        ++gap;
        if (book.dueSteps(now).empty()) {
            continue;
        }
        book.handleFailure(UpstreamName{"runner"}, now);
        gaps.push_back(gap);
        gap = 0;
    }
    REQUIRE(gaps.size() > 6);
    CHECK(gaps[2] <= 3);
    CHECK(gaps.back() >= 30);
    CHECK(gaps.back() <= 61);
}

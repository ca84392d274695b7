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

/// Engines, and leaders that give them orders over a network that loses orders and answers and delays them up to the longest order.
/// A leader that was replaced goes on until its lease has ended.
class World
{
public:
    World(std::uint64_t seed, int engines)
        : m_random(seed)
    {
        for (int i = 0; i < engines; ++i) {
            const UpstreamName name{"runner-" + std::to_string(i)};
            m_engines[name].checksFence = i % 2 == 0;
            m_wanted.push_back(Order{.upstream = name, .kind = OrderKind::LoadVersion, .argument = "v2"});
        }
    }

    void elect(Duration formerLease)
    {
        m_former = std::move(m_leader);
        m_formerUntil = m_now + formerLease;
        m_leader = std::make_unique<OrderBook>(m_options, m_random());
        m_leader->want(m_wanted);
        m_leader->lead(Epoch{++m_epoch}, m_formerUntil);
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
        act(m_leader.get());
        if (m_now < m_formerUntil) {
            act(m_former.get());
        }
        mostLoading = std::max(mostLoading, countLoading());
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
    int doubleLoads = 0;
    std::size_t mostLoading = 0;

private:
    std::size_t countLoading() const
    {
        std::size_t count = 0;
        for (const auto &[name, engine] : m_engines) {
            count += engine.loading ? 1 : 0;
        }
        return count;
    }
    bool lost()
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

    void act(OrderBook *book)
    {
        if (!book) {
            return;
        }
        for (const OrderStep &step : book->due(m_now)) {
            // An answer to a leader that is gone reaches nobody.
            const auto current = [this, book] { return book == m_leader.get() || (book == m_former.get() && m_now < m_formerUntil); };
            const UpstreamName name = step.order.upstream;
            const auto giveUp = [this, book, name, current] {
                if (current()) {
                    book->failed(name, m_now);
                }
            };
            if (lost()) {
                after(m_options.longestOrder, giveUp);
                continue;
            }
            const bool answerLost = lost();
            after(delay(answerLost ? m_options.longestOrder : std::chrono::seconds(1)), [=, this] { arrive(step, book, answerLost, current); });
            // The connection may end before the order arrives.
            if (answerLost) {
                after(delay(m_options.longestOrder), giveUp);
            }
        }
    }

    void arrive(const OrderStep &step, OrderBook *book, bool answerLost, const std::function<bool()> &current)
    {
        Engine &engine = m_engines[step.order.upstream];
        if (step.action == OrderStep::Action::Ask) {
            if (!answerLost && current()) {
                book->state(step.order.upstream, LoadedState{.argument = engine.loaded, .loading = engine.loading.has_value()}, m_now);
            }
            return;
        }
        if (engine.checksFence && step.epoch.value < engine.highestEpoch) {
            return;
        }
        engine.highestEpoch = std::max(engine.highestEpoch, step.epoch.value);
        doubleLoads += engine.loading || engine.loaded == step.order.argument ? 1 : 0;
        engine.loading = step.order.argument;
        engine.loadedAt = m_now + std::chrono::seconds(3) + delay(std::chrono::seconds(20));
        ++engine.loads;
        if (!answerLost && current()) {
            book->sent(step.order.upstream, m_now);
        }
    }

    OrderOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    std::map<UpstreamName, Engine> m_engines;
    std::vector<Order> m_wanted;
    std::uint64_t m_epoch = 0;
    std::unique_ptr<OrderBook> m_leader;
    std::unique_ptr<OrderBook> m_former;
    TimePoint m_formerUntil{};
    std::multimap<TimePoint, std::function<void()>> m_events;
};

}

// Leaders change while upstreams load, and orders and answers are lost or late; a former leader goes on until its lease ends. Engines,
// half of which check no fence, must not load the same version twice (it takes the engine out of service and the weight store's time),
// and in the end all have it.
TEST_CASE("orders are carried out once each through lost answers and changes of the leader")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        World world(seed, 8);
        world.lossPermille = 150;
        world.elect(Duration::zero());
        for (int change = 0; change < 4; ++change) {
            world.run(std::chrono::milliseconds(world.random()() % 40'000));
            world.elect(std::chrono::milliseconds(world.random()() % 2'000));
        }
        world.run(std::chrono::minutes(10));
        INFO("seed " << seed);
        CHECK(world.doubleLoads == 0);
        CHECK(world.leader().open() == 0);
        for (const auto &[name, engine] : world.engines()) {
            CHECK(engine.loaded == "v2");
            CHECK(engine.loads == 1);
        }
    }
}

// The weight store feeds two loads at a time. A new leader counts what the one before began, or the store would have to feed four.
TEST_CASE("no more loads run at once than the weight store stands, over a change of the leader")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        World world(seed, 10);
        world.elect(Duration::zero());
        world.run(std::chrono::milliseconds(10'000 + world.random()() % 20'000));
        world.elect(std::chrono::seconds(2));
        world.run(std::chrono::minutes(5));
        INFO("seed " << seed);
        CHECK(world.mostLoading == OrderOptions{}.loadsAtOnce);
        CHECK(world.leader().open() == 0);
    }
}

TEST_CASE("a leader whose epoch was refused gives no more orders")
{
    OrderBook book({}, 1);
    const TimePoint start{std::chrono::hours(1)};
    book.want({Order{.upstream = UpstreamName{"runner"}, .argument = "v2"}});
    book.lead(Epoch{3}, start);
    REQUIRE(book.due(start + std::chrono::seconds(5)).size() == 1);
    book.refusedEpoch();
    CHECK(book.due(start + std::chrono::hours(1)).empty());
}

TEST_CASE("attempts after failures are spread and ever further apart")
{
    OrderBook book({}, 1);
    TimePoint now{std::chrono::hours(1)};
    book.want({Order{.upstream = UpstreamName{"runner"}, .argument = "v2"}});
    book.lead(Epoch{1}, now);
    std::vector<int> gaps;
    int gap = 0;
    for (int second = 0; second < 400; ++second) {
        now += std::chrono::seconds(1);
        ++gap;
        if (book.due(now).empty()) {
            continue;
        }
        book.failed(UpstreamName{"runner"}, now);
        gaps.push_back(gap);
        gap = 0;
    }
    REQUIRE(gaps.size() > 6);
    CHECK(gaps[2] <= 3);
    CHECK(gaps.back() >= 30);
    CHECK(gaps.back() <= 61);
}

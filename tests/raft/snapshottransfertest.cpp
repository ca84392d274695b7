#include "raft/core.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

using namespace cumindyke;
using namespace cumindyke::raft;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr std::size_t StateBytes = 1 << 20;
constexpr Index SnapshotIndex = 50;

v1::Membership threeVoters()
{
    v1::Membership membership;
    for (const char *name : {"a", "b", "c"}) {
        membership.add_voters(name);
    }
    return membership;
}

Recovered recoveredAt(Index index)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->index = index;
    snapshot->term = index > 0 ? 4 : 0;
    snapshot->membership = threeVoters();
    snapshot->state = std::string(index > 0 ? StateBytes : 0, 's');
    Recovered recovered;
    recovered.identity.incarnation = 1;
    recovered.identity.admitted = true;
    recovered.vote.term = 4;
    recovered.snapshot = snapshot;
    recovered.baseIndex = snapshot->index;
    recovered.baseTerm = snapshot->term;
    return recovered;
}

/// Three voters, of which "c" lacks all that the others have only as a snapshot; what it is sent and what it answers takes some time.
class SlowFollower
{
public:
    explicit SlowFollower(Duration oneWay)
        : m_oneWay(oneWay)
    {
        for (const char *name : {"a", "b", "c"}) {
            const VmName vm{name};
            const Recovered recovered = recoveredAt(vm.value == "c" ? 0 : SnapshotIndex);
            m_cores[vm] = std::make_unique<Core>(CoreOptions{.self = vm}, recovered, std::hash<std::string>{}(vm.value), Start);
        }
    }

    void run(Duration time)
    {
        for (Duration elapsed{}; elapsed < time; elapsed += std::chrono::milliseconds(10)) {
            const TimePoint now = Start + elapsed;
            while (!m_arriving.empty() && m_arriving.front().first <= now) {
                const v1::RaftMessage message = std::move(m_arriving.front().second);
                m_arriving.pop_front();
                m_cores.at(VmName{message.to()})->step(message, now);
            }
            for (auto &[name, core] : m_cores) {
                core->tick(now);
                send(*core, now);
            }
        }
    }

    std::size_t chunkBytesSent() const
    {
        return m_chunkBytes;
    }
    Index commitOf(const std::string &name) const
    {
        return m_cores.at(VmName{name})->commit();
    }

private:
    void send(Core &core, TimePoint now)
    {
        const Effects effects = core.takeEffects();
        core.synced(now);
        for (const auto *messages : {&effects.messages, &effects.promises}) {
            for (const v1::RaftMessage &message : *messages) {
                m_chunkBytes += message.snapshot_chunk().size();
                const bool isSlow = message.to() == "c" || message.from() == "c";
                deliver(now + (isSlow ? m_oneWay : std::chrono::milliseconds(1)), message);
            }
        }
    }

    void deliver(TimePoint at, const v1::RaftMessage &message)
    {
        const auto later = std::ranges::upper_bound(m_arriving, at, {}, [](const auto &held) { return held.first; });
        m_arriving.emplace(later, at, message);
    }

    const Duration m_oneWay;
    std::map<VmName, std::unique_ptr<Core>> m_cores;
    std::deque<std::pair<TimePoint, v1::RaftMessage>> m_arriving;
    std::size_t m_chunkBytes = 0;
};

}

// Guards against a link that gets the more to carry the slower it is: a replaced replica's snapshot, sent again with each heartbeat.
TEST_CASE("a snapshot's chunks are sent once over a link that is slower than the heartbeats")
{
    SlowFollower replicas(std::chrono::milliseconds(200));
    replicas.run(std::chrono::seconds(5));
    CHECK(replicas.commitOf("c") >= SnapshotIndex);
    CHECK(replicas.chunkBytesSent() == StateBytes);
}

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

/// Three voters. "c" has an empty log and needs entries that the others have only in a snapshot; messages to and from "c" are delayed.
class SlowFollower
{
public:
    explicit SlowFollower(Duration oneWayDelay)
        : m_oneWayDelay(oneWayDelay)
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
            while (!m_inTransit.empty() && m_inTransit.front().first <= now) {
                const v1::RaftMessage message = std::move(m_inTransit.front().second);
                m_inTransit.pop_front();
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
        return m_cores.at(VmName{name})->commitIndex();
    }

private:
    void send(Core &core, TimePoint now)
    {
        const Effects effects = core.takeEffects();
        core.onSynced(now);
        for (const auto *messages : {&effects.messages, &effects.messagesAfterSync}) {
            for (const v1::RaftMessage &message : *messages) {
                m_chunkBytes += message.snapshot_chunk().size();
                const bool isSlow = message.to() == "c" || message.from() == "c";
                deliver(now + (isSlow ? m_oneWayDelay : std::chrono::milliseconds(1)), message);
            }
        }
    }

    void deliver(TimePoint at, const v1::RaftMessage &message)
    {
        const auto later = std::ranges::upper_bound(m_inTransit, at, {}, [](const auto &held) { return held.first; });
        m_inTransit.emplace(later, at, message);
    }

    const Duration m_oneWayDelay;
    std::map<VmName, std::unique_ptr<Core>> m_cores;
    std::deque<std::pair<TimePoint, v1::RaftMessage>> m_inTransit;
    std::size_t m_chunkBytes = 0;
};

}

// Guards against resending a replaced replica's snapshot with each heartbeat: the slower the link, the more it had to carry.
TEST_CASE("a snapshot's chunks are sent once over a link that is slower than the heartbeats")
{
    SlowFollower replicas(std::chrono::milliseconds(200));
    replicas.run(std::chrono::seconds(5));
    CHECK(replicas.commitOf("c") >= SnapshotIndex);
    CHECK(replicas.chunkBytesSent() == StateBytes);
}

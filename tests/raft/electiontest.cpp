#include "raft/core.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace cumindyke;
using namespace cumindyke::raft;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
const std::vector<std::string> Names{"a", "b", "c"};

/// Three voters with identical logs whose processes have all just restarted. Messages arrive at the next step.
class RestartedCluster
{
public:
    RestartedCluster()
    {
        for (const std::string &name : Names) {
            m_cores[VmName{name}] = std::make_unique<Core>(CoreOptions{.self = VmName{name}}, recovered(), std::hash<std::string>{}(name), Start);
        }
    }

    void disconnect(const std::string &name)
    {
        m_cores.erase(VmName{name});
    }

    /// Returns the milliseconds until a replica leads; -1 if none does within two seconds.
    int millisecondsUntilLeader()
    {
        std::vector<v1::RaftMessage> inTransit;
        for (int elapsed = 0; elapsed < 2000; elapsed += 10) {
            const TimePoint now = Start + std::chrono::milliseconds(elapsed);
            std::vector<v1::RaftMessage> sent;
            for (const v1::RaftMessage &message : inTransit) {
                if (const auto to = m_cores.find(VmName{message.to()}); to != m_cores.end()) {
                    to->second->step(message, now);
                }
            }
            for (auto &[name, core] : m_cores) {
                core->tick(now);
                const Effects effects = core->takeEffects();
                core->onSynced(now);
                sent.insert(sent.end(), effects.messages.begin(), effects.messages.end());
                sent.insert(sent.end(), effects.messagesAfterSync.begin(), effects.messagesAfterSync.end());
                if (core->role() == Core::Role::Leader) {
                    return elapsed;
                }
            }
            inTransit.swap(sent);
        }
        return -1;
    }

private:
    static Recovered recovered()
    {
        auto snapshot = std::make_shared<Snapshot>();
        for (const std::string &name : Names) {
            snapshot->membership.add_voters(name);
        }
        Recovered recovered;
        recovered.identity.incarnation = 1;
        recovered.identity.admitted = true;
        recovered.vote.term = 4;
        recovered.snapshot = snapshot;
        auto entry = std::make_shared<v1::LogEntry>();
        entry->set_term(4);
        entry->set_index(1);
        recovered.entries.push_back(entry);
        return recovered;
    }

    std::map<VmName, std::unique_ptr<Core>> m_cores;
};

}

// When all replicas are killed and restarted at once, callers get no service for half a second or more if every replica waits for the
// longest promise it may have made to a leader to withhold its vote. Here all replicas deny leading, so no leader is left that could rely
// on such a promise.
TEST_CASE("replicas that all restarted elect a leader without waiting for old vote promises to expire")
{
    RestartedCluster cluster;
    const int elapsed = cluster.millisecondsUntilLeader();
    CHECK(elapsed >= 0);
    CHECK(elapsed <= 150);
}

// Guards against a stale read: a revoked key that still works. Two of three replicas restart; the third is partitioned and may still lead
// and serve reads under a promise that one of them made before its restart.
TEST_CASE("restarted replicas wait for old vote promises to expire while one voter does not reply")
{
    RestartedCluster cluster;
    cluster.disconnect("b");
    CHECK(cluster.millisecondsUntilLeader() >= 750);
}

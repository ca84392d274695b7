#include "raft/core.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace cumindyke;
using namespace cumindyke::raft;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(100)};
const std::vector<std::string> Names{"a", "b", "c"};

/// Three voters whose processes have all just restarted, at the end of the same log; messages arrive at the next step.
class Restarted
{
public:
    Restarted()
    {
        for (const std::string &name : Names) {
            m_cores[VmName{name}] = std::make_unique<Core>(CoreOptions{.self = VmName{name}}, recovered(), std::hash<std::string>{}(name), Start);
        }
    }

    void cutOff(const std::string &name)
    {
        m_cores.erase(VmName{name});
    }

    /// Milliseconds until a replica leads; none within two seconds: -1.
    int untilLeader()
    {
        std::vector<v1::RaftMessage> arriving;
        for (int elapsed = 0; elapsed < 2000; elapsed += 10) {
            const TimePoint now = Start + std::chrono::milliseconds(elapsed);
            std::vector<v1::RaftMessage> sent;
            for (const v1::RaftMessage &message : arriving) {
                if (const auto to = m_cores.find(VmName{message.to()}); to != m_cores.end()) {
                    to->second->step(message, now);
                }
            }
            for (auto &[name, core] : m_cores) {
                core->tick(now);
                const Effects effects = core->takeEffects();
                core->synced(now);
                sent.insert(sent.end(), effects.messages.begin(), effects.messages.end());
                sent.insert(sent.end(), effects.promises.begin(), effects.promises.end());
                if (core->role() == Core::Role::Leader) {
                    return elapsed;
                }
            }
            arriving.swap(sent);
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

// What callers see when all replicas are killed at once and come back: no service for the longest time that a replica may have promised
// a leader to vote for nobody, half a second and more. All of them say that they don't lead, so no leader is left to whom it holds.
TEST_CASE("replicas that all restarted elect a leader without waiting for a leader that is gone")
{
    Restarted cluster;
    const int elapsed = cluster.untilLeader();
    CHECK(elapsed >= 0);
    CHECK(elapsed <= 150);
}

// What callers would see otherwise: a key that was taken away goes on working. Two of three restart; the third, cut off, may still lead
// and answer reads under the promise that one of them made before it restarted.
TEST_CASE("while one voter is silent, restarted replicas wait out what they may have promised it")
{
    Restarted cluster;
    cluster.cutOff("b");
    CHECK(cluster.untilLeader() >= 750);
}

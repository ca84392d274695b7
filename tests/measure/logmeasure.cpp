#include "common/hash.h"
#include "control/statemachine.h"
#include "ctl/client.h"
#include "raft/replicacluster.h"
#include "raft/replicatedlog.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <thread>

/// Measures the replicated log on real disks for docs/measurements/control-log.md. Asserts nothing about the measured times.
using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

using Clock = std::chrono::steady_clock;

double millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

void printLatencies(const char *what, int replicas, std::size_t clients, std::vector<double> latencies, double elapsed)
{
    std::ranges::sort(latencies);
    const auto at = [&latencies](double share) { return latencies[static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1))]; };
    std::printf("%s: %d replicas, %zu clients: %zu answered, %.0f/s, p50 %.2f ms, p99 %.2f ms, max %.2f ms\n",
                what,
                replicas,
                clients,
                latencies.size(),
                1000.0 * static_cast<double>(latencies.size()) / elapsed,
                at(0.5),
                at(0.99),
                latencies.back());
    std::fflush(stdout);
}

void printRange(const char *what, std::vector<double> times)
{
    std::ranges::sort(times);
    std::printf("%s, %zu times: min %.0f, median %.0f, max %.0f ms\n", what, times.size(), times.front(), times[times.size() / 2], times.back());
    std::fflush(stdout);
}

/// Returns the newest term for which any of the five VMs logged itself as the leader.
std::uint64_t newestLedTerm(ReplicaCluster &cluster)
{
    std::uint64_t newest = 0;
    for (int vm = 1; vm <= 5; ++vm) {
        const std::string log = cluster.daemon(vm).log();
        const std::string leaderEntry = "change=leader leader=vm-" + std::to_string(vm) + " term=";
        const std::size_t last = log.rfind(leaderEntry);
        if (last != std::string::npos) {
            newest = std::max(newest, static_cast<std::uint64_t>(std::stoull(log.substr(last + leaderEntry.size()))));
        }
    }
    return newest;
}

/// Measures commands from several clients at once. They are rejected, since their base revision doesn't exist, but go through the log
/// like accepted ones, and need not wait for each other's revision.
void measureConcurrentCommands(ReplicaCluster &cluster, int replicas, std::size_t clients, int commandsPerClient)
{
    const std::string server = cluster.daemon(cluster.leader()).rpc();
    std::vector<std::vector<double>> latencies(clients);
    std::vector<std::thread> threads;
    const auto start = Clock::now();
    for (std::size_t client = 0; client < clients; ++client) {
        threads.emplace_back([&server, &clientLatencies = latencies[client], client, clients, commandsPerClient] {
            OperatorClient operatorClient(server, WaitTimeout);
            for (int i = 0; i < commandsPerClient; ++i) {
                v1::ApplyRequest request;
                request.set_command_id("load-" + std::to_string(clients) + "-" + std::to_string(client) + "-" + std::to_string(i));
                request.set_base_revision(1'000'000'000);
                const auto sent = Clock::now();
                if (ok(operatorClient.apply(request))) {
                    clientLatencies.push_back(millisecondsSince(sent));
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double elapsed = millisecondsSince(start);
    std::vector<double> all;
    for (const std::vector<double> &clientLatencies : latencies) {
        all.insert(all.end(), clientLatencies.begin(), clientLatencies.end());
    }
    printLatencies("commands", replicas, clients, std::move(all), elapsed);
}

void measureApplies(int replicas)
{
    ReplicaCluster cluster(replicas, replicas);
    REQUIRE(eventually([&] { return cluster.leader() != 0; }));
    std::vector<double> latencies;
    const auto start = Clock::now();
    for (int i = 1; i <= 500; ++i) {
        const auto sent = Clock::now();
        cluster.change(i);
        latencies.push_back(millisecondsSince(sent));
    }
    printLatencies("sequential applies, at VMs in turn", replicas, 1, std::move(latencies), millisecondsSince(start));
    measureConcurrentCommands(cluster, replicas, 1, 500);
    measureConcurrentCommands(cluster, replicas, 16, 250);
}

v1::Command organisationCommand(int number, std::uint64_t base)
{
    v1::Command command;
    command.set_command_id("change-" + std::to_string(number));
    command.mutable_apply()->set_base_revision(base);
    if (base == 0) {
        command.mutable_apply()->add_changes()->mutable_tier()->set_name("committee");
    }
    v1::Organisation &organisation = *command.mutable_apply()->add_changes()->mutable_organisation();
    organisation.set_name("organisation-" + std::to_string(number % 100));
    organisation.set_highest_tier("committee");
    organisation.add_key_sha256(hashKey(std::to_string(number)).value);
    return command;
}

/// Opens a single replica in a folder and returns the milliseconds until it can answer reads.
double openLog(const std::string &folder, raft::SnapshotPolicy policy, StateMachine &state, std::unique_ptr<raft::ReplicatedLog> &log)
{
    const auto start = Clock::now();
    raft::ReplicatedLogOptions options{.vm = VmName{"vm-1"}, .dataFolder = folder, .initialVoters = {VmName{"vm-1"}}};
    options.send = [](const VmName &, const v1::Envelope &) {};
    options.snapshots = policy;
    auto opened = raft::ReplicatedLog::open(std::move(options));
    REQUIRE(ok(opened));
    log = std::move(valueOf(opened));
    log->applied().connect([&state](raft::Index, raft::Term, const std::string &bytes) {
        v1::Command command;
        if (!bytes.empty() && command.ParseFromString(bytes)) {
            state.apply(command);
        }
    });
    log->snapshotRequested().connect([&state] { return state.snapshot(); });
    log->snapshotInstalled().connect([&state](const std::string &bytes) { REQUIRE(ok(state.restore(bytes))); });
    log->start(EventLoop::now());
    log->flush(EventLoop::now());
    REQUIRE(log->hasReadableState(EventLoop::now()));
    return millisecondsSince(start);
}

void measureRecovery(const char *what, raft::SnapshotPolicy policy)
{
    const TemporaryFolder folder;
    {
        StateMachine state;
        std::unique_ptr<raft::ReplicatedLog> log;
        openLog(folder.path(), policy, state, log);
        for (int i = 0; i < 10'000; ++i) {
            log->propose(organisationCommand(i, static_cast<std::uint64_t>(i)).SerializeAsString(), EventLoop::now());
            if (i % 100 == 99) {
                log->flush(EventLoop::now());
            }
        }
        REQUIRE(state.declarations().revision().value == 10'000);
    }
    StateMachine state;
    std::unique_ptr<raft::ReplicatedLog> log;
    const double elapsed = openLog(folder.path(), policy, state, log);
    REQUIRE(state.declarations().revision().value == 10'000);
    std::printf("recovery after 10,000 changes, %s: %.0f ms\n", what, elapsed);
    std::fflush(stdout);
}

}

TEST_CASE("applies")
{
    measureApplies(3);
    measureApplies(5);
}

TEST_CASE("failover")
{
    ReplicaCluster cluster(5, 5);
    REQUIRE(eventually([&] { return cluster.leader() != 0; }));
    cluster.change(1);
    std::vector<double> leaderlessTimes;
    std::vector<double> acceptedTimes;
    for (int i = 0; i < 20; ++i) {
        const int leader = cluster.leader();
        REQUIRE(leader != 0);
        const std::uint64_t term = newestLedTerm(cluster);
        const auto killed = Clock::now();
        cluster.kill(leader);
        const auto newLeader = [&] { return newestLedTerm(cluster) > term; };
        REQUIRE(eventually(newLeader));
        leaderlessTimes.push_back(millisecondsSince(killed));
        cluster.change(2 + i);
        acceptedTimes.push_back(millisecondsSince(killed));
        cluster.restart(leader);
    }
    printRange("no leader after kill -9, 5 replicas", leaderlessTimes);
    printRange("until a change is accepted after kill -9, 5 replicas", acceptedTimes);
}

TEST_CASE("recovery")
{
    measureRecovery("no snapshot", raft::SnapshotPolicy{.intervalEntries = 1'000'000, .keptEntries = 1024});
    measureRecovery("a snapshot every 4,096 entries", raft::SnapshotPolicy{});
}

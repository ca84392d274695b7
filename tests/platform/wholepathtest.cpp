#include "fakeplatform/platformsystem.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <nlohmann/json.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

TEST_CASE("process: a caller's request passes the whole path unchanged, and the operator reads back the published document")
{
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());

    const HttpAnswer answer = http(system.callerAddress(), "POST", "/deposits/a?b=c", callerHeaders("id-1"), "the body");
    CHECK(answer.status == 200);
    CHECK(answer.body == "ran /deposits/a?b=c the body");
    CHECK(answer.header("Cumindyke-Runner-Seal") == "seal-of-i-1");
    REQUIRE(system.platform.seen().size() == 1);
    const SeenRequest seen = system.platform.seen()[0];
    CHECK(seen.method == "POST");
    CHECK(seen.target == "/deposits/a?b=c");
    CHECK(seen.body == "the body");
    CHECK(seen.header("Cumindyke-Request-Id") == "id-1");
    CHECK(seen.header("Cumindyke-Tenant") == "ensemble");
    CHECK(seen.header("Cumindyke-Expect-Instance") == "i-1");
    CHECK(seen.header("Cumindyke-Key").empty());
    CHECK(seen.header("Cumindyke-Hold").empty());
    CHECK(std::stoi(seen.header("Cumindyke-Deadline-Ms")) <= 4000);

    const HttpAnswer stream = http(system.callerAddress(ControlVms + 2), "POST", "/drafts/stream", callerHeaders("id-2"));
    CHECK(stream.status == 200);
    CHECK(stream.body == "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\nid: 3\ndata: part 3\n\n");
    CHECK_FALSE(stream.failure);

    CHECK(http(system.callerAddress(), "GET", "/deposits/a", callerHeaders("id-3", "no key")).status == 401);
    CHECK(http(system.callerAddress(), "GET", "/nowhere/", callerHeaders("id-4")).status == 404);
    const HttpAnswer full = http(system.callerAddress(), "POST", "/deposits/full", callerHeaders("id-5"));
    CHECK(full.status == 503);
    CHECK_FALSE(full.header("Retry-After").empty());
    CHECK(full.header("Cumindyke-Runner-Seal").empty());
    CHECK(system.platform.seen().size() == 2);

    for (int vm = 1; vm <= ControlVms; ++vm) {
        CHECK(http(system.operatorAddress(vm), "GET", "/api/config").body == documentOf(3));
    }
    CHECK(http(system.operatorAddress(1), "PUT", "/api/config", {}, "{\"version\":4").status == 400);
    CHECK(http(system.operatorAddress(1), "GET", "/api/rollouts/desk").status == 404);
    CHECK(http(system.operatorAddress(2), "POST", "/api/rollouts", {}, R"({"service":"desk","target":"v2","durationS":30})").status == 200);
    CHECK(nlohmann::json::parse(http(system.operatorAddress(3), "GET", "/api/rollouts/desk").body).at("state") == "in_progress");
}

// Guards against control VMs whose state can't be monitored: on-call engineers had only the leader's log.
TEST_CASE("process: control VMs serve their metrics, and the leader's show that a configuration was published and confirmed")
{
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    int published = 0;
    for (int vm = 1; vm <= ControlVms; ++vm) {
        const HttpAnswer metrics = http(system.operatorAddress(vm), "GET", "/metrics");
        CHECK(metrics.status == 200);
        CHECK(metrics.body.find("cumindyke_peer_held_bytes") != std::string::npos);
        const bool isLeader = metrics.body.find("cumindyke_versions_published_total 0") == std::string::npos;
        published += isLeader ? 1 : 0;
        CHECK((metrics.body.find("cumindyke_versions_confirmed_total 0") == std::string::npos) == isLeader);
    }
    CHECK(published >= 1);
}

// Guards against an acknowledged configuration that is lost or replaced by an older one after all control processes were killed at once. Each has
// synced it before the acknowledgement, so any later leader has it, and entry VMs serve under it again.
TEST_CASE("process: an acknowledged configuration survives the kill of every control process")
{
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.publish(documentOf(9)));
    for (int vm = 1; vm <= ControlVms; ++vm) {
        system.daemons[vm]->signal(SIGKILL);
        system.daemons[vm]->wait();
    }
    for (int vm = 1; vm <= ControlVms; ++vm) {
        system.start(vm);
    }
    CHECK(eventually([&] { return http(system.operatorAddress(2), "GET", "/api/config").body == documentOf(9); }));
    REQUIRE(system.waitUntilReady());
    CHECK(http(system.callerAddress(), "GET", "/deposits/a", callerHeaders("id-1")).status == 200);
}

// Guards against a confirmation while a VM may still admit requests under the previous configuration.
TEST_CASE("process: a VM that was suspended while a configuration was confirmed serves nothing under the previous one")
{
    System system("confirm_within_ms = 0\n");
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    nlohmann::json reduced = nlohmann::json::parse(documentOf(4));
    reduced["routes"].erase(0);
    const int vm = ControlVms + 1;
    system.daemons[vm]->signal(SIGSTOP);
    REQUIRE(system.publish(reduced.dump()));
    system.daemons[vm]->signal(SIGCONT);
    CHECK(http(system.callerAddress(vm), "POST", "/deposits/a", callerHeaders("id-1")).status != 200);
    CHECK(system.platform.seen().empty());
    CHECK(system.waitUntilReady());
    CHECK(http(system.callerAddress(vm), "POST", "/deposits/a", callerHeaders("id-2")).status == 404);
}

// Guards against streams that are cut off, or connections refused, in an upgrade because the process exited on the signal at once. A stopping VM
// becomes unready at once, so that the balancer uses other VMs, finishes its requests, and serves those that still arrive. SIGHUP, which reports
// changed settings, stops nothing.
TEST_CASE("process: an entry VM finishes its streams on SIGTERM, and SIGHUP does not stop it")
{
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    const int vm = ControlVms + 1;
    system.daemons[vm]->signal(SIGHUP);
    HttpAnswer stream;
    std::thread caller([&] { stream = http(system.callerAddress(vm), "POST", "/drafts/stream", callerHeaders("id-1")); });
    CHECK(eventually([&] { return !system.platform.seen().empty(); }));
    system.daemons[vm]->signal(SIGTERM);
    CHECK(eventually([&] { return !system.isReady(vm); }));
    CHECK(http(system.callerAddress(vm), "GET", "/deposits/a", callerHeaders("id-2")).status == 200);
    caller.join();
    CHECK(stream.status == 200);
    CHECK_FALSE(stream.failure);
    CHECK(system.daemons[vm]->wait() == 0);
}

// Guards against every request of a data centre being refused for lack of a slot although upstreams are idle. One of two entry VMs places the
// requests of both; it is killed, or suspended with its sockets open, and the other VM, which receives no reply, places its own requests.
TEST_CASE("process: requests are served when the VM that places them is killed or suspended")
{
    const int signal = GENERATE(SIGKILL, SIGSTOP);
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    // A hash of their names decides which of the two places requests, so each fails once.
    for (const int failedVm : {ControlVms + 1, ControlVms + 2}) {
        const int other = failedVm == ControlVms + 1 ? ControlVms + 2 : ControlVms + 1;
        const std::string id = "id-" + std::to_string(failedVm);
        CHECK(http(system.callerAddress(other), "POST", "/deposits/a", callerHeaders(id + "-before")).status == 200);
        system.daemons[failedVm]->signal(signal);
        CHECK(http(system.callerAddress(other), "POST", "/deposits/a", callerHeaders(id + "-after")).status == 200);
        if (signal == SIGSTOP) {
            system.daemons[failedVm]->signal(SIGCONT);
        } else {
            system.daemons[failedVm]->wait();
            system.start(failedVm);
        }
        REQUIRE(system.waitUntilReady());
    }
    CHECK(system.platform.seen().size() == 4);
}

// Guards against an answer that is half a second late while all entry VMs are restarted one after the other and callers keep connections open: a
// connection leads to a VM that is shutting down, whose refusal told the caller to wait although every other VM would have served it at once.
TEST_CASE("process: a VM that shuts down refuses callers without a wait, so that they use the others")
{
    constexpr int MaxAttempts = 3;
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    const int vm = ControlVms + 1;
    HttpAnswer refusal;
    // It refuses for some tenths of a second before it exits; if the test process was suspended during that time, it tries again.
    for (int attempt = 0; attempt < MaxAttempts && refusal.status != 503; ++attempt) {
        system.daemons[vm]->signal(SIGTERM);
        while (refusal.status != 503 && system.daemons[vm]->running()) {
            refusal = http(system.callerAddress(vm), "GET", "/deposits/a", callerHeaders("id-1"));
        }
        system.daemons[vm]->wait();
        system.start(vm);
        REQUIRE(system.waitUntilReady());
    }
    REQUIRE(refusal.status == 503);
    CHECK(std::stod(refusal.header("Retry-After")) == 0);
    CHECK(refusal.header("Connection") == "close");
}

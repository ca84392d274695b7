#include "fakeplatform/fakeplatform.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr std::uint16_t PeerPort = 7600;
constexpr std::uint16_t LeasePort = 7615;
constexpr std::uint16_t ControlPort = 8229;
constexpr std::uint16_t FrontPort = 8221;
constexpr std::uint16_t ReadinessPort = 8224;
constexpr int ControlVms = 3;
constexpr int EntryVms = 2;

/// Three control VMs, two entry VMs and the platform's stand-in, on loopback.
class System
{
public:
    explicit System(std::string more = {})
        : platform(network.host(90), "i-1", "desk")
        , more(std::move(more))
    {
        for (int vm = 1; vm <= ControlVms + EntryVms; ++vm) {
            start(vm);
        }
    }

    void start(int vm)
    {
        const std::string host = network.host(vm);
        const std::string file = folder.file("vm" + std::to_string(vm) + ".toml");
        std::ofstream(file) << settings(vm, host);
        daemons[vm] = std::make_unique<Process>(std::vector<std::string>{std::string(CUMINDYKE_BIN) + "/cumindyked", "--settings", file},
                                                folder.file("out" + std::to_string(vm)),
                                                folder.file("err" + std::to_string(vm)));
    }

    Address control(int vm) const
    {
        return Address{.host = network.host(vm), .port = ControlPort};
    }
    Address front(int vm = ControlVms + 1) const
    {
        return Address{.host = network.host(vm), .port = FrontPort};
    }
    bool ready(int vm) const
    {
        return http(Address{.host = network.host(vm), .port = ReadinessPort}, "GET", "/api/readyz").status == 200;
    }
    /// Sends it until it is acknowledged, to each control VM in turn, as the operator does.
    bool publish(const std::string &document) const
    {
        int vm = 0;
        return eventually([&] { return http(control(vm++ % ControlVms + 1), "PUT", "/api/config", {}, document).status == 200; });
    }
    bool allReady() const
    {
        return eventually([this] { return ready(ControlVms + 1) && ready(ControlVms + 2); });
    }

    TestNetwork network;
    TemporaryFolder folder;
    FakePlatform platform;
    /// Settings of every VM besides the usual ones.
    const std::string more;
    std::map<int, std::unique_ptr<Process>> daemons;

private:
    std::string settings(int vm, const std::string &host) const
    {
        std::string replicas;
        for (int seed = 1; seed <= ControlVms; ++seed) {
            replicas += (seed == 1 ? "\"" : ", \"") + toString(control(seed)) + "\"";
        }
        const bool isControl = vm <= ControlVms;
        std::string text = "vm = \"" + host + "\"\ndata_centre = \"z-a\"\nrpc_address = \"" + host + ":" + std::to_string(PeerPort)
            + "\"\npeer_port = " + std::to_string(PeerPort) + "\nlease_port = " + std::to_string(LeasePort) + "\nreplicas = [" + replicas
            + "]\nkeep_admitting_ms = 1800\n" + more + "data_folder = \"" + (isControl ? folder.file("data" + std::to_string(vm)) : "") + "\"\n";
        if (isControl) {
            return text + "operator_api = \"" + toString(control(vm)) + "\"\n";
        }
        return text + "[proxy]\naddress = \"" + toString(front(vm)) + "\"\nreadiness_address = \"" + host + ":" + std::to_string(ReadinessPort)
            + "\"\nupstream_list = \"" + toString(platform.address()) + "\"\n";
    }
};

std::string documentOf(int version)
{
    const auto route = [](const std::string &name, const std::string &kind) {
        return nlohmann::json{{"name", name},
                              {"host", "desk.example"},
                              {"pathPrefix", "/" + name + "/"},
                              {"kind", kind},
                              {"timeoutMs", 5000},
                              {"priority", 0},
                              {"service", "desk"},
                              {"targetLatencyMs", 300},
                              {"maxAttempts", 1},
                              {"authExempt", false},
                              {"unknownField", {}}};
    };
    return nlohmann::json{
        {"version", version},
        {"routes", {route("deposits", "non_idempotent"), route("drafts", "streaming")}},
        {"services", {{{"name", "desk"}}}},
        {"tenants", {{{"name", "ensemble"}, {"apiKeys", {"key-1"}}, {"priority", 1}, {"unit", "tokens"}, {"plainTokens", 200}, {"ratePerS", 0}}}}}
        .dump(1);
}

HeaderList callerHeaders(const std::string &id, const std::string &key = "key-1")
{
    return {{"Host", "desk.example"}, {"Cumindyke-Request-Id", id}, {"Cumindyke-Deadline-Ms", "4000"}, {"Cumindyke-Key", key}, {"Cumindyke-Hold", "stolen"}};
}

}

TEST_CASE("process: a caller's request goes through the whole path unchanged and the operator reads back what was sent")
{
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.allReady());

    const HttpAnswer answer = http(system.front(), "POST", "/deposits/a?b=c", callerHeaders("id-1"), "the body");
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

    const HttpAnswer stream = http(system.front(ControlVms + 2), "POST", "/drafts/stream", callerHeaders("id-2"));
    CHECK(stream.status == 200);
    CHECK(stream.body == "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\nid: 3\ndata: part 3\n\n");
    CHECK_FALSE(stream.failure);

    CHECK(http(system.front(), "GET", "/deposits/a", callerHeaders("id-3", "no key")).status == 401);
    CHECK(http(system.front(), "GET", "/nowhere/", callerHeaders("id-4")).status == 404);
    const HttpAnswer full = http(system.front(), "POST", "/deposits/full", callerHeaders("id-5"));
    CHECK(full.status == 503);
    CHECK_FALSE(full.header("Retry-After").empty());
    CHECK(full.header("Cumindyke-Runner-Seal").empty());
    CHECK(system.platform.seen().size() == 2);

    for (int vm = 1; vm <= ControlVms; ++vm) {
        CHECK(http(system.control(vm), "GET", "/api/config").body == documentOf(3));
    }
    CHECK(http(system.control(1), "PUT", "/api/config", {}, "{\"version\":4").status == 400);
    CHECK(http(system.control(1), "GET", "/api/rollouts/desk").status == 404);
    CHECK(http(system.control(2), "POST", "/api/rollouts", {}, R"({"service":"desk","target":"v2","durationS":30})").status == 200);
    CHECK(nlohmann::json::parse(http(system.control(3), "GET", "/api/rollouts/desk").body).at("state") == "in_progress");
}

// Guards against control VMs whose state nobody can watch: on-call engineers had the leader's lines only.
TEST_CASE("process: control VMs serve their metrics, and the leader's tell that a configuration was published and confirmed")
{
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.allReady());
    int published = 0;
    for (int vm = 1; vm <= ControlVms; ++vm) {
        const HttpAnswer metrics = http(system.control(vm), "GET", "/metrics");
        CHECK(metrics.status == 200);
        CHECK(metrics.body.find("cumindyke_peer_held_bytes") != std::string::npos);
        const bool leads = metrics.body.find("cumindyke_versions_published_total 0") == std::string::npos;
        published += leads ? 1 : 0;
        CHECK((metrics.body.find("cumindyke_versions_confirmed_total 0") == std::string::npos) == leads);
    }
    CHECK(published >= 1);
}

// What the operator fears: a configuration that was acknowledged is gone or older after all control processes were killed at once. Each has
// synced it before the acknowledgement, so whoever leads afterwards holds it; entry VMs serve again under it.
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
    CHECK(eventually([&] { return http(system.control(2), "GET", "/api/config").body == documentOf(9); }));
    REQUIRE(system.allReady());
    CHECK(http(system.front(), "GET", "/deposits/a", callerHeaders("id-1")).status == 200);
}

// Guards against a confirmation that comes while a VM may still admit requests under the configuration before it.
TEST_CASE("process: a VM that stood still while a configuration was confirmed serves nothing under the one before")
{
    System system("confirm_within_ms = 0\n");
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.allReady());
    nlohmann::json without = nlohmann::json::parse(documentOf(4));
    without["routes"].erase(0);
    const int vm = ControlVms + 1;
    system.daemons[vm]->signal(SIGSTOP);
    REQUIRE(system.publish(without.dump()));
    system.daemons[vm]->signal(SIGCONT);
    CHECK(http(system.front(vm), "POST", "/deposits/a", callerHeaders("id-1")).status != 200);
    CHECK(system.platform.seen().empty());
    CHECK(system.allReady());
    CHECK(http(system.front(vm), "POST", "/deposits/a", callerHeaders("id-2")).status == 404);
}

// What callers see in an upgrade: a stream cut in the middle, or connections refused, because the process ended as soon as it was told to.
// It is unready at once, so that the balancer moves on, ends what it has, and takes what still comes meanwhile. A signal that settings have
// changed ends nothing.
TEST_CASE("process: an entry VM that is told to end finishes its streams first and a hang-up does not end it")
{
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.allReady());
    const int vm = ControlVms + 1;
    system.daemons[vm]->signal(SIGHUP);
    HttpAnswer stream;
    std::thread caller([&] { stream = http(system.front(vm), "POST", "/drafts/stream", callerHeaders("id-1")); });
    CHECK(eventually([&] { return !system.platform.seen().empty(); }));
    system.daemons[vm]->signal(SIGTERM);
    CHECK(eventually([&] { return !system.ready(vm); }));
    CHECK(http(system.front(vm), "GET", "/deposits/a", callerHeaders("id-2")).status == 200);
    caller.join();
    CHECK(stream.status == 200);
    CHECK_FALSE(stream.failure);
    CHECK(system.daemons[vm]->wait() == 0);
}

// What callers see: every request of a data centre is refused for want of room, though upstreams are idle. Of two entry VMs one places the
// requests of both. It is killed, or stands still with its sockets open; the other one hears nothing of it, and places its own.
TEST_CASE("process: requests go on when the VM that places them is killed or stands still")
{
    const int signal = GENERATE(SIGKILL, SIGSTOP);
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.allReady());
    // Which of the two places is decided by a hash of their names, so each is lost once.
    for (const int lost : {ControlVms + 1, ControlVms + 2}) {
        const int other = lost == ControlVms + 1 ? ControlVms + 2 : ControlVms + 1;
        const std::string id = "id-" + std::to_string(lost);
        CHECK(http(system.front(other), "POST", "/deposits/a", callerHeaders(id + "-before")).status == 200);
        system.daemons[lost]->signal(signal);
        CHECK(http(system.front(other), "POST", "/deposits/a", callerHeaders(id + "-after")).status == 200);
        if (signal == SIGSTOP) {
            system.daemons[lost]->signal(SIGCONT);
        } else {
            system.daemons[lost]->wait();
            system.start(lost);
        }
        REQUIRE(system.allReady());
    }
    CHECK(system.platform.seen().size() == 4);
}

// Pattern: all entry VMs are restarted one after the other while callers keep connections open. What the caller sees: an answer half a second late. Its
// connection leads to a VM that shuts down and takes nothing any more; the refusal made it wait, although every other VM would have served it at once.
TEST_CASE("process: a VM that shuts down sends callers to the others without a wait")
{
    constexpr int MostAttempts = 3;
    System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.allReady());
    const int vm = ControlVms + 1;
    HttpAnswer refusal;
    // It refuses for some tenths of a second before it ends; a test process that stood still just then looks again.
    for (int attempt = 0; attempt < MostAttempts && refusal.status != 503; ++attempt) {
        system.daemons[vm]->signal(SIGTERM);
        while (refusal.status != 503 && system.daemons[vm]->running()) {
            refusal = http(system.front(vm), "GET", "/deposits/a", callerHeaders("id-1"));
        }
        system.daemons[vm]->wait();
        system.start(vm);
        REQUIRE(system.allReady());
    }
    REQUIRE(refusal.status == 503);
    CHECK(std::stod(refusal.header("Retry-After")) == 0);
    CHECK(refusal.header("Connection") == "close");
}

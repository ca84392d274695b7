#include "support/testdeployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <set>

using namespace cumindyke;
using namespace cumindyke::test;

// Ten requests with the same key arrive while the first one runs for half a second, and another one after its end.
TEST_CASE("all resends of a deposit get the same answer and it runs once")
{
    TestDeployment deployment;
    deployment.booking().setFaults(R"({"plain_delay_ms":500})");
    std::vector<std::future<HttpAnswer>> answers;
    for (int i = 0; i < 10; ++i) {
        answers.push_back(std::async(std::launch::async, [&deployment] { return deployment.deposit("deposit-7", "hall=3"); }));
    }
    std::set<std::string> bodies;
    int replayed = 0;
    for (std::future<HttpAnswer> &pending : answers) {
        const HttpAnswer answer = pending.get();
        CHECK(answer.status == 200);
        CHECK(answer.header("X-Cumindyke-Outcome") == "ran");
        replayed += answer.header("Idempotent-Replayed") == "true" ? 1 : 0;
        bodies.insert(answer.body);
    }
    const HttpAnswer later = deployment.deposit("deposit-7", "hall=3");
    CHECK(later.header("Idempotent-Replayed") == "true");
    bodies.insert(later.body);
    CHECK(replayed == 9);
    CHECK(bodies.size() == 1);
    CHECK(countEvents(deployment.booking().log(), "run") == 1);
}

TEST_CASE("a key that is reused with another payload is refused and the request does not run")
{
    TestDeployment deployment;
    REQUIRE(deployment.deposit("deposit-7", "hall=3").status == 200);
    const HttpAnswer other = deployment.deposit("deposit-7", "hall=4");
    CHECK(other.status == 409);
    CHECK(other.header("X-Cumindyke-Outcome") == "not-run");
    CHECK(countEvents(deployment.booking().log(), "run") == 1);
}

// The service is killed after it received the deposit, so it cannot be determined whether the deposit was made. A second run might make it
// twice.
TEST_CASE("a deposit whose service is killed is unknown for every resend and runs once")
{
    TestDeployment deployment(TestDeploymentOptions{.bookingUpstreams = 2});
    deployment.booking(0).setFaults(R"({"plain_delay_ms":20000})");
    deployment.booking(1).setFaults(R"({"plain_delay_ms":20000})");
    std::future<HttpAnswer> first = std::async(std::launch::async, [&deployment] { return deployment.deposit("deposit-7", "hall=3"); });
    const auto ran = [&deployment](std::size_t index) { return countEvents(deployment.booking(index).log(), "run") == 1; };
    REQUIRE(eventually([&ran] { return ran(0) || ran(1); }));
    const std::size_t killed = ran(0) ? 0 : 1;
    deployment.booking(killed).process().signal(SIGKILL);
    const HttpAnswer answer = first.get();
    CHECK(answer.status == 502);
    CHECK(answer.header("X-Cumindyke-Outcome") == "unknown");
    const HttpAnswer resent = deployment.deposit("deposit-7", "hall=3");
    CHECK(resent.status == 502);
    CHECK(resent.header("X-Cumindyke-Outcome") == "unknown");
    CHECK(countEvents(deployment.booking(1 - killed).log(), "run") == 0);
}

// A deposit that was sent to the service runs to its end without its caller, and the answer is saved for the resend.
TEST_CASE("a deposit whose caller disconnected is answered to the next resend")
{
    TestDeployment deployment;
    deployment.booking().setFaults(R"({"plain_delay_ms":600})");
    HeaderList headers = ApiKeyHeaders;
    headers.emplace_back("Idempotency-Key", "deposit-7");
    EventLoop loop;
    auto call = std::make_unique<UpstreamCall>(loop,
                                               UpstreamRequest{
                                                   .id = {},
                                                   .address = deployment.daemon().http(),
                                                   .method = "POST",
                                                   .target = "/services/booking/deposits",
                                                   .headers = headers,
                                                   .body = "hall=3",
                                               },
                                               ProgressTimeouts{});
    call->start();
    Timer poll(loop, [&deployment, &loop] {
        if (countEvents(deployment.booking().log(), "run") == 1) {
            loop.stop();
        }
    });
    poll.startEvery(std::chrono::milliseconds(10));
    loop.run();
    call.reset();
    Timer runOnce(loop, [&loop] { loop.stop(); });
    runOnce.startOnce(std::chrono::milliseconds(1));
    loop.run();
    const HttpAnswer answer = deployment.deposit("deposit-7", "hall=3");
    CHECK(answer.status == 200);
    CHECK(answer.header("Idempotent-Replayed") == "true");
    CHECK(countEvents(deployment.booking().log(), "run") == 1);
}

// The claim is in the replicated log and survives the daemon's process, while the outcome of the run
// is lost unless its end was committed before the kill.
TEST_CASE("a deposit whose daemon is killed is unknown after the restart and does not run again")
{
    TestDeployment deployment;
    deployment.booking().setFaults(R"({"plain_delay_ms":3000})");
    std::future<HttpAnswer> first = std::async(std::launch::async, [&deployment] { return deployment.deposit("deposit-7", "hall=3"); });
    REQUIRE(eventually([&deployment] { return countEvents(deployment.booking().log(), "run") == 1; }));
    deployment.daemon().process().signal(SIGKILL);
    deployment.daemon().process().wait();
    first.get();
    deployment.daemon().start();
    REQUIRE(deployment.daemon().waitUntilReady());
    for (int i = 0; i < 3; ++i) {
        const HttpAnswer resent = deployment.deposit("deposit-7", "hall=3");
        CHECK(resent.status == 502);
        CHECK(resent.header("X-Cumindyke-Outcome") == "unknown");
    }
    CHECK(countEvents(deployment.booking().log(), "run") == 1);
}

// SIGTERM makes the daemon unready at once. Waiting and running requests finish, a second SIGTERM does not shorten the shutdown, a new
// request is refused and does not run, and the process then exits by itself.
TEST_CASE("a graceful shutdown finishes all waiting and running requests")
{
    TestDeployment deployment(TestDeploymentOptions{.slots = 2, .upstreamArguments = {"--step-ms", "20"}});
    std::vector<std::future<HttpAnswer>> answers;
    for (int i = 0; i < 6; ++i) {
        answers.push_back(std::async(std::launch::async, [&deployment, i] { return deployment.draft("notice " + std::to_string(i), 20); }));
    }
    REQUIRE(eventually([&deployment] { return countEvents(deployment.drafting().log(), "run") == 2; }));
    deployment.daemon().process().signal(SIGTERM);
    REQUIRE(eventually([&deployment] { return http(deployment.daemon().http(), "GET", "/readyz").status == 503; }));
    deployment.daemon().process().signal(SIGTERM);
    const HttpAnswer refused = deployment.draft("too late", 1);
    CHECK(refused.status == 503);
    CHECK(refused.header("X-Cumindyke-Outcome") == "not-run");
    CHECK_FALSE(refused.header("Retry-After").empty());
    for (int i = 0; i < 6; ++i) {
        const StreamedText text = streamedText(answers[static_cast<std::size_t>(i)].get().body);
        CHECK(text.whole);
        CHECK(text.text == expectedText("notice " + std::to_string(i), 20));
    }
    CHECK(deployment.daemon().process().wait() == 0);
    CHECK(countEvents(deployment.drafting().log(), "run") == 6);
}

// Requests with the same key arrive at three VMs while the deposit runs at one of them: the other VMs find the claim in the log and join
// the holder's run over the peer connection.
TEST_CASE("resends at several VMs join one run")
{
    TestDeployment deployment(TestDeploymentOptions{.vms = 3});
    deployment.booking().setFaults(R"({"plain_delay_ms":700})");
    std::vector<std::future<HttpAnswer>> answers;
    for (std::size_t i = 0; i < 9; ++i) {
        answers.push_back(std::async(std::launch::async, [&deployment, i] { return deployment.deposit("deposit-7", "hall=3", i % deployment.vms()); }));
    }
    std::set<std::string> bodies;
    for (std::future<HttpAnswer> &pending : answers) {
        const HttpAnswer answer = pending.get();
        CHECK(answer.status == 200);
        CHECK(answer.header("X-Cumindyke-Outcome") == "ran");
        bodies.insert(answer.body);
    }
    for (std::size_t vm = 0; vm < deployment.vms(); ++vm) {
        bodies.insert(deployment.deposit("deposit-7", "hall=3", vm).body);
    }
    CHECK(bodies.size() == 1);
    CHECK(countEvents(deployment.booking().log(), "run") == 1);
}

// The holder of the claim is killed while the deposit runs. Its claim remains in the log and no other VM knows how the run ended, so the
// outcome stays "unknown" after the holder has restarted as well.
TEST_CASE("a deposit whose entry VM is killed is unknown at the other VMs and runs once")
{
    TestDeployment deployment(TestDeploymentOptions{.vms = 3});
    deployment.booking().setFaults(R"({"plain_delay_ms":2000})");
    std::future<HttpAnswer> first = std::async(std::launch::async, [&deployment] { return deployment.deposit("deposit-7", "hall=3", 1); });
    REQUIRE(eventually([&deployment] { return countEvents(deployment.booking().log(), "run") == 1; }));
    std::future<HttpAnswer> joined = std::async(std::launch::async, [&deployment] { return deployment.deposit("deposit-7", "hall=3", 2); });
    deployment.daemon(1).process().signal(SIGKILL);
    deployment.daemon(1).process().wait();
    first.get();
    CHECK(joined.get().header("X-Cumindyke-Outcome") == "unknown");
    CHECK(deployment.deposit("deposit-7", "hall=3", 0).header("X-Cumindyke-Outcome") == "unknown");
    deployment.daemon(1).start();
    REQUIRE(deployment.daemon(1).waitUntilReady());
    for (std::size_t vm = 0; vm < deployment.vms(); ++vm) {
        CHECK(deployment.deposit("deposit-7", "hall=3", vm).header("X-Cumindyke-Outcome") == "unknown");
    }
    CHECK(countEvents(deployment.booking().log(), "run") == 1);
}

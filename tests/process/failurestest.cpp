#include "support/testdeployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

using PendingRecords = std::vector<std::future<CallerRecord>>;

HeaderList headersFor(const std::string &tier, int deadlineMs)
{
    return {{"X-Cumindyke-Tier", tier}, {"X-Cumindyke-Deadline-Ms", std::to_string(deadlineMs)}};
}

void startDraft(PendingRecords &pending, const TestDeployment &deployment, const std::string &prompt, int tokens, const HeaderList &headers, std::size_t vm = 0)
{
    pending.push_back(std::async(std::launch::async, [&deployment, prompt, tokens, headers, vm] {
        return callerRecord(deployment.draft(prompt, tokens, headers, vm), expectedText(prompt, tokens));
    }));
}

std::vector<CallerRecord> awaitRecords(PendingRecords &pending)
{
    std::vector<CallerRecord> records;
    for (std::future<CallerRecord> &record : pending) {
        records.push_back(record.get());
    }
    return records;
}

auto countOutcome(const std::vector<CallerRecord> &records, const std::string &outcome)
{
    return std::ranges::count_if(records, [&outcome](const CallerRecord &record) { return record.outcome == outcome; });
}

}

// Three times the requests that two engines can answer by the deadline arrive at once, the lower tier first. The queue serves the higher
// tier first, so requests of the lower tier are refused.
TEST_CASE("a burst of three times the capacity is shed in tier order and refused requests do not run")
{
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2, .slots = 2, .upstreamArguments = {"--step-ms", "20"}});
    PendingRecords pending;
    for (int i = 0; i < 32; ++i) {
        startDraft(pending, deployment, "routine " + std::to_string(i), 30, headersFor("routine", 5000));
    }
    for (int i = 0; i < 16; ++i) {
        startDraft(pending, deployment, "committee " + std::to_string(i), 30, headersFor("committee", 5000));
    }
    const std::vector<CallerRecord> records = awaitRecords(pending);
    CHECK(describe(findViolations(deployment.history(), records)).empty());
    CHECK(countOutcome(records, "ran") + countOutcome(records, "not-run") == 48);
    CHECK(countOutcome(records, "not-run") > 0);
}

// No request is sent twice because its engine is slow.
TEST_CASE("an engine at half speed delays answers and all of them are complete")
{
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2, .slots = 4});
    deployment.drafting(0).setFaults(R"({"slowness":2})");
    PendingRecords pending;
    for (int i = 0; i < 24; ++i) {
        startDraft(pending, deployment, "notice " + std::to_string(i), 20, {});
    }
    const std::vector<CallerRecord> records = awaitRecords(pending);
    CHECK(describe(findViolations(deployment.history(), records)).empty());
    CHECK(std::ranges::all_of(records, &CallerRecord::whole));
}

// Callers of the killed VM lose their connections, callers of the other VMs are not affected. Requests that waited at the killed VM never
// reach an engine, and no other VM takes over running requests, since that could run them twice.
TEST_CASE("the kill of an entry VM with waiting and running requests affects only its own callers")
{
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2, .slots = 2, .vms = 3, .upstreamArguments = {"--step-ms", "20"}});
    PendingRecords pending;
    for (int i = 0; i < 24; ++i) {
        startDraft(pending, deployment, "programme " + std::to_string(i), 30, {}, static_cast<std::size_t>(i % 3));
    }
    REQUIRE(eventually([&deployment] { return countEvents(deployment.history(), "dispatched") >= 4; }));
    deployment.daemon(2).process().signal(SIGKILL);
    const std::vector<CallerRecord> records = awaitRecords(pending);
    CHECK(describe(findViolations(deployment.history(), records)).empty());
    for (std::size_t engine = 0; engine < 2; ++engine) {
        CHECK(deployment.drafting(engine).process().running());
    }
    for (std::size_t i = 0; i < records.size(); ++i) {
        INFO("request " << i << " outcome '" << records[i].outcome << "' id " << records[i].id << " text " << records[i].text.size());
        CHECK((records[i].whole || i % 3 == 2));
    }
}

// The requests arrive at three VMs while the booking service that runs the deposit is killed. Every one is answered with the outcome
// "unknown", and the other booking service must never receive the deposit.
TEST_CASE("forty resends of a deposit whose service is killed run it once")
{
    TestDeployment deployment(TestDeploymentOptions{.bookingUpstreams = 2, .vms = 3});
    deployment.booking(0).setFaults(R"({"plain_delay_ms":1000})");
    deployment.booking(1).setFaults(R"({"plain_delay_ms":1000})");
    PendingRecords pending;
    for (std::size_t i = 0; i < 40; ++i) {
        pending.push_back(std::async(std::launch::async, [&deployment, i] {
            std::this_thread::sleep_for(std::chrono::milliseconds(20 * i));
            return callerRecord(deployment.deposit("deposit-7", "hall=3", i % 3), "", "deposit-7");
        }));
    }
    REQUIRE(eventually([&deployment] { return countEvents(deployment.history(), "run") > 0; }));
    const std::size_t killed = countEvents(deployment.booking(0).log(), "run") > 0 ? 0 : 1;
    deployment.booking(killed).process().signal(SIGKILL);
    const std::vector<CallerRecord> records = awaitRecords(pending);
    CHECK(describe(findViolations(deployment.history(), records)).empty());
    CHECK(countEvents(deployment.history(), "run") == 1);
    CHECK(countOutcome(records, "unknown") == 40);
}

// The daemons are shut down by SIGTERM and restarted in turn while requests arrive. The callers behave as behind a load balancer and go to
// another VM after the outcome "not-run".
TEST_CASE("a rolling restart under load cuts no answer")
{
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2, .slots = 8, .vms = 3});
    std::atomic<bool> stopped = false;
    std::vector<std::future<std::vector<CallerRecord>>> callers;
    for (std::size_t caller = 0; caller < 6; ++caller) {
        callers.push_back(std::async(std::launch::async, [&deployment, &stopped, caller] {
            std::vector<CallerRecord> records;
            for (std::size_t i = 0; !stopped && i < 2000; ++i) {
                const std::string prompt = "notice " + std::to_string(caller) + "/" + std::to_string(i);
                records.push_back(callerRecord(deployment.draft(prompt, 10, {}, (caller + i) % 3), expectedText(prompt, 10)));
            }
            return records;
        }));
    }
    for (std::size_t vm = 3; vm-- > 0;) {
        deployment.daemon(vm).process().signal(SIGTERM);
        CHECK(deployment.daemon(vm).process().wait() == 0);
        deployment.daemon(vm).start();
        for (std::size_t ready = 0; ready < deployment.vms(); ++ready) {
            REQUIRE(deployment.daemon(ready).waitUntilReady());
        }
    }
    stopped = true;
    std::vector<CallerRecord> records;
    for (auto &caller : callers) {
        std::ranges::copy(caller.get(), std::back_inserter(records));
    }
    CHECK(describe(findViolations(deployment.history(), records)).empty());
    CHECK(countOutcome(records, "ran") > 0);
    for (const CallerRecord &record : records) {
        // Without an outcome, the VM was down and the connection was refused.
        const bool uncut = record.whole || record.outcome == "not-run" || record.outcome.empty();
        CHECK(uncut);
    }
}

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

using Pending = std::vector<std::future<CallerRecord>>;

HeaderList headersFor(const std::string &tier, int deadlineMs)
{
    return {{"X-Cumindyke-Tier", tier}, {"X-Cumindyke-Deadline-Ms", std::to_string(deadlineMs)}};
}

void draftLater(Pending &pending, const TestDeployment &deployment, const std::string &prompt, int tokens, const HeaderList &headers, std::size_t vm = 0)
{
    pending.push_back(std::async(std::launch::async, [&deployment, prompt, tokens, headers, vm] {
        return callerRecord(deployment.draft(prompt, tokens, headers, vm), expectedText(prompt, tokens));
    }));
}

std::vector<CallerRecord> collect(Pending &pending)
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

// Callers of the higher tier are served first and every refusal says truly that nothing ran. Three times what two engines can do by the
// deadline arrives at once, the lower tier first; the queue lets the higher tier out first, so what is refused is of the lower tier.
TEST_CASE("a burst of three times capacity sheds truly and in the order of the tiers")
{
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2, .slots = 2, .upstreamArguments = {"--step-ms", "20"}});
    Pending pending;
    for (int i = 0; i < 32; ++i) {
        draftLater(pending, deployment, "routine " + std::to_string(i), 30, headersFor("routine", 5000));
    }
    for (int i = 0; i < 16; ++i) {
        draftLater(pending, deployment, "committee " + std::to_string(i), 30, headersFor("committee", 5000));
    }
    const std::vector<CallerRecord> records = collect(pending);
    CHECK(describe(findViolations(deployment.history(), records)).empty());
    CHECK(countOutcome(records, "ran") + countOutcome(records, "not-run") == 48);
    CHECK(countOutcome(records, "not-run") > 0);
}

// Callers see whole answers, some later. One engine runs at half speed; nothing is sent twice for it.
TEST_CASE("an engine at half speed delays answers and nothing else")
{
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2, .slots = 4});
    deployment.drafting(0).setFaults(R"({"slowness":2})");
    Pending pending;
    for (int i = 0; i < 24; ++i) {
        draftLater(pending, deployment, "notice " + std::to_string(i), 20, {});
    }
    const std::vector<CallerRecord> records = collect(pending);
    CHECK(describe(findViolations(deployment.history(), records)).empty());
    CHECK(std::ranges::all_of(records, &CallerRecord::whole));
}

// Callers at the killed VM lose their connections; those at the others notice nothing. The VM dies while requests wait and run on it: what
// waited never reaches an engine, and nobody takes over what ran, since that could run it twice.
TEST_CASE("an entry VM killed while requests wait and run loses only its own callers' answers")
{
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2, .slots = 2, .vms = 3, .upstreamArguments = {"--step-ms", "20"}});
    Pending pending;
    for (int i = 0; i < 24; ++i) {
        draftLater(pending, deployment, "programme " + std::to_string(i), 30, {}, static_cast<std::size_t>(i % 3));
    }
    REQUIRE(eventually([&deployment] { return countEvents(deployment.history(), "dispatched") >= 4; }));
    deployment.daemon(2).process().signal(SIGKILL);
    const std::vector<CallerRecord> records = collect(pending);
    CHECK(describe(findViolations(deployment.history(), records)).empty());
    for (std::size_t engine = 0; engine < 2; ++engine) {
        CHECK(deployment.drafting(engine).process().running());
    }
    for (std::size_t i = 0; i < records.size(); ++i) {
        INFO("request " << i << " outcome '" << records[i].outcome << "' id " << records[i].id << " text " << records[i].text.size());
        CHECK((records[i].whole || i % 3 == 2));
    }
}

// Every sending is told the truth: the same receipt, or "unknown". Forty sendings of one deposit come to three VMs while the booking
// service that took it is killed; the other booking service stands by and must never see the deposit.
TEST_CASE("a storm of resends of one deposit while its service dies runs it once")
{
    TestDeployment deployment(TestDeploymentOptions{.bookingUpstreams = 2, .vms = 3});
    deployment.booking(0).setFaults(R"({"plain_delay_ms":1000})");
    deployment.booking(1).setFaults(R"({"plain_delay_ms":1000})");
    Pending pending;
    for (std::size_t i = 0; i < 40; ++i) {
        pending.push_back(std::async(std::launch::async, [&deployment, i] {
            std::this_thread::sleep_for(std::chrono::milliseconds(20 * i));
            return callerRecord(deployment.deposit("deposit-7", "hall=3", i % 3), "", "deposit-7");
        }));
    }
    REQUIRE(eventually([&deployment] { return countEvents(deployment.history(), "run") > 0; }));
    const std::size_t taken = countEvents(deployment.booking(0).log(), "run") > 0 ? 0 : 1;
    deployment.booking(taken).process().signal(SIGKILL);
    const std::vector<CallerRecord> records = collect(pending);
    CHECK(describe(findViolations(deployment.history(), records)).empty());
    CHECK(countEvents(deployment.history(), "run") == 1);
    CHECK(countOutcome(records, "unknown") == 40);
}

// No caller sees a cut answer. Every daemon is told to shut down and is started again in turn while drafts go on; callers do as behind a
// balancer and go to another VM when one says "not run".
TEST_CASE("a rolling restart under load cuts no request")
{
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2, .slots = 8, .vms = 3});
    std::atomic<bool> over = false;
    std::vector<std::future<std::vector<CallerRecord>>> callers;
    for (std::size_t caller = 0; caller < 6; ++caller) {
        callers.push_back(std::async(std::launch::async, [&deployment, &over, caller] {
            std::vector<CallerRecord> records;
            for (std::size_t i = 0; !over && i < 2000; ++i) {
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
    over = true;
    std::vector<CallerRecord> records;
    for (auto &caller : callers) {
        std::ranges::copy(caller.get(), std::back_inserter(records));
    }
    CHECK(describe(findViolations(deployment.history(), records)).empty());
    CHECK(countOutcome(records, "ran") > 0);
    for (const CallerRecord &record : records) {
        // No outcome: the VM was down and the connection refused.
        const bool honest = record.whole || record.outcome == "not-run" || record.outcome.empty();
        CHECK(honest);
    }
}

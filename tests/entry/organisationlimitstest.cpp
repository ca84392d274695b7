#include "entry/organisationlimits.h"
#include "entry/servicerate.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start{1h};
const Organisation Small{.name = OrganisationName{"small"}, .maxConcurrent = 6, .tokensPerSecond = 300};
const Organisation Large{.name = OrganisationName{"large"}};

}

TEST_CASE("an organisation's declared concurrency is divided between the VMs")
{
    OrganisationLimits limits(OrganisationLimitOptions{.vms = 3});
    for (int i = 0; i < 2; ++i) {
        REQUIRE_FALSE(limits.refusal(Small, 10, TokenCount{1}, Start));
        limits.add(Small, 10, TokenCount{1}, Start);
    }
    const auto refused = limits.refusal(Small, 10, TokenCount{1}, Start);
    REQUIRE(refused);
    CHECK(refused->error.kind == ErrorKind::Overloaded);
    CHECK_FALSE(limits.refusal(Large, 10, TokenCount{1}, Start));
    limits.remove(Small.name, 10);
    CHECK_FALSE(limits.refusal(Small, 10, TokenCount{1}, Start));
}

TEST_CASE("over a minute an organisation gets its tokens a second and the time to wait is true")
{
    OrganisationLimits limits(OrganisationLimitOptions{.vms = 3});
    int taken = 0;
    for (TimePoint now = Start; now < Start + 60s; now += 100ms) {
        const auto refused = limits.refusal(Small, 0, TokenCount{50}, now);
        if (refused) {
            CHECK_FALSE(limits.refusal(Small, 0, TokenCount{50}, now + refused->retryAfter));
            // The look into the future has refilled; go on from there.
            now += refused->retryAfter;
            continue;
        }
        limits.add(Small, 0, TokenCount{50}, now);
        limits.remove(Small.name, 0);
        taken += 50;
    }
    // 100 tokens a second on this VM, 4 s of burst, and one request may go below zero.
    CHECK(taken <= 100 * 64 + 50);
    CHECK(taken >= 100 * 45);
}

TEST_CASE("one organisation can't fill a VM, and the VM's memory is bounded")
{
    OrganisationLimits limits(OrganisationLimitOptions{.maxHeld = 100, .maxHeldPerOrganisation = 4, .maxBytes = 1000, .maxBytesPerOrganisation = 600});
    limits.add(Large, 500, TokenCount{1}, Start);
    CHECK(limits.refusal(Large, 200, TokenCount{1}, Start));
    CHECK_FALSE(limits.refusal(Small, 400, TokenCount{1}, Start));
    CHECK(limits.refusal(Small, 501, TokenCount{1}, Start));
    for (int i = 0; i < 3; ++i) {
        limits.add(Large, 0, TokenCount{1}, Start);
    }
    CHECK(limits.refusal(Large, 0, TokenCount{1}, Start));
}

TEST_CASE("the time to come back follows the queue and the rate")
{
    ServiceRate rate;
    CHECK(rate.timeFor(10, Start) == 5s);
    TimePoint now = Start;
    for (int i = 0; i < 1000; ++i) {
        now += 100ms;
        rate.ended(now);
    }
    // Ten a second.
    CHECK(rate.timeFor(0, now) == 1s);
    CHECK(rate.timeFor(300, now) >= 29s);
    CHECK(rate.timeFor(300, now) <= 31s);
    CHECK(rate.timeFor(1'000'000, now) == 60s);
}

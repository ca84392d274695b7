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

TEST_CASE("a declared limit of concurrent requests is divided between the VMs")
{
    OrganisationLimits limits(OrganisationLimitOptions{.vms = 3});
    for (int i = 0; i < 2; ++i) {
        REQUIRE_FALSE(limits.findExceededLimit(Small, 10, TokenCount{1}, Start));
        limits.acquire(Small, 10, TokenCount{1}, Start);
    }
    const auto refused = limits.findExceededLimit(Small, 10, TokenCount{1}, Start);
    REQUIRE(refused);
    CHECK(refused->error.kind == ErrorKind::Overloaded);
    CHECK_FALSE(limits.findExceededLimit(Large, 10, TokenCount{1}, Start));
    limits.release(Small.name, 10);
    CHECK_FALSE(limits.findExceededLimit(Small, 10, TokenCount{1}, Start));
}

TEST_CASE("an organisation gets its token rate over a minute, and a retry after Retry-After is admitted")
{
    OrganisationLimits limits(OrganisationLimitOptions{.vms = 3});
    int acquired = 0;
    for (TimePoint now = Start; now < Start + 60s; now += 100ms) {
        const auto refused = limits.findExceededLimit(Small, 0, TokenCount{50}, now);
        if (refused) {
            CHECK_FALSE(limits.findExceededLimit(Small, 0, TokenCount{50}, now + refused->retryAfter));
            // That check has refilled the bucket up to the later time: continue from there.
            now += refused->retryAfter;
            continue;
        }
        limits.acquire(Small, 0, TokenCount{50}, now);
        limits.release(Small.name, 0);
        acquired += 50;
    }
    // 100 tokens a second on this VM, 4 s of burst, and one request may go below zero.
    CHECK(acquired <= 100 * 64 + 50);
    CHECK(acquired >= 100 * 45);
}

TEST_CASE("requests and bytes are limited per organisation and per VM")
{
    OrganisationLimits limits(OrganisationLimitOptions{.maxRequests = 100, .maxRequestsPerOrganisation = 4, .maxBytes = 1000, .maxBytesPerOrganisation = 600});
    limits.acquire(Large, 500, TokenCount{1}, Start);
    CHECK(limits.findExceededLimit(Large, 200, TokenCount{1}, Start));
    CHECK_FALSE(limits.findExceededLimit(Small, 400, TokenCount{1}, Start));
    CHECK(limits.findExceededLimit(Small, 501, TokenCount{1}, Start));
    for (int i = 0; i < 3; ++i) {
        limits.acquire(Large, 0, TokenCount{1}, Start);
    }
    CHECK(limits.findExceededLimit(Large, 0, TokenCount{1}, Start));
}

TEST_CASE("the estimated time grows with the queue and shrinks with the rate of ended requests")
{
    ServiceRate rate;
    CHECK(rate.estimatedTime(10, Start) == 5s);
    TimePoint now = Start;
    for (int i = 0; i < 1000; ++i) {
        now += 100ms;
        rate.recordEnd(now);
    }
    // Ten requests per second.
    CHECK(rate.estimatedTime(0, now) == 1s);
    CHECK(rate.estimatedTime(300, now) >= 29s);
    CHECK(rate.estimatedTime(300, now) <= 31s);
    CHECK(rate.estimatedTime(1'000'000, now) == 60s);
}

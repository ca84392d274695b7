#include "daemon/settings.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

TEST_CASE("without a settings file a VM is the only replica")
{
    const Result<Settings> settings = parseSettings("", "embedded defaults");
    REQUIRE(ok(settings));
    CHECK(valueOf(settings).replicas == std::vector<VmName>{valueOf(settings).vm});
    CHECK_FALSE(valueOf(settings).dataFolder.empty());
}

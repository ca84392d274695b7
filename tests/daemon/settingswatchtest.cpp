#include "daemon/settingswatch.h"
#include "daemon/startretry.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

using std::chrono::milliseconds;

const std::string Whole = R"(vm = "a"
replicas = ["b", "c"]
[[peer]]
vm = "b"
rpc_address = "127.0.0.1:1"
[[peer]]
vm = "c"
rpc_address = "127.0.0.1:2"
)";
constexpr TimePoint Start{std::chrono::hours(1)};

}

// Guards against a start with the first part of settings, which is valid by itself.
TEST_CASE("settings are accepted once two reads have found the same")
{
    SettingsStart start(Start);
    CHECK_FALSE(start.accept(std::string("vm = \"a\"\n"), "f", Start));
    CHECK_FALSE(start.accept(Whole, "f", Start + milliseconds(20)));
    const auto settings = start.accept(Whole, "f", Start + milliseconds(40));
    REQUIRE(settings);
    REQUIRE(ok(*settings));
    CHECK(valueOf(*settings).replicas.size() == 2);
}

// Guards against a process that waits for ever for settings that nobody corrects, and one that ends while they are written.
TEST_CASE("settings that stay missing, empty or invalid are reported after the wait")
{
    const std::vector<Result<std::string>> contents{Error{ErrorKind::NotFound, "no file"}, std::string(), std::string("vm = ")};
    for (const Result<std::string> &content : contents) {
        SettingsStart start(Start);
        for (TimePoint now = Start; now < Start + SettingsStart::MaxWait; now += SettingsStart::PollInterval) {
            REQUIRE_FALSE(start.accept(content, "f", now));
        }
        const auto settings = start.accept(content, "f", Start + SettingsStart::MaxWait);
        REQUIRE(settings);
        CHECK_FALSE(ok(*settings));
    }
}

// Guards against a running VM that asks the embedded default's replica for its leader because its settings file was empty for a moment.
TEST_CASE("a settings file that is being written changes nothing until it is whole")
{
    const TemporaryFolder folder;
    const std::string file = folder.file("settings.toml");
    writeFile(file, Whole);
    SettingsWatch watch(file);
    CHECK_FALSE(watch.changed(false));

    writeFile(file, "");
    CHECK_FALSE(watch.changed(false));
    CHECK_FALSE(watch.changed(false));
    const auto forced = watch.changed(true);
    REQUIRE(forced);
    CHECK_FALSE(ok(*forced));

    writeFile(file, "vm = \"a\"\n");
    CHECK_FALSE(watch.changed(false));
    const std::string changed = Whole + "# changed\n";
    writeFile(file, changed);
    const Duration soon = watch.nextLook();
    CHECK_FALSE(watch.changed(false));
    const auto settings = watch.changed(false);
    REQUIRE(settings);
    REQUIRE(ok(*settings));
    CHECK(valueOf(*settings).replicas.size() == 2);
    CHECK_FALSE(watch.changed(false));
    CHECK(soon < watch.nextLook());
}

// Guards against a daemon that ends because of what passes by itself, and one that hides a wrong address from its operator.
TEST_CASE("a start is tried again while a full disk or an address in use may be the reason")
{
    StartRetry retry(Start);
    const Error busy{ErrorKind::Unavailable, "in use"};
    CHECK(retry.mayRetry(busy, Start));
    CHECK(retry.isFirst());
    CHECK(retry.mayRetry(Error{ErrorKind::StorageFull, "full"}, Start + std::chrono::hours(2)));
    CHECK_FALSE(retry.isFirst());
    CHECK_FALSE(retry.mayRetry(busy, Start + StartRetry::MaxWait));
    CHECK_FALSE(retry.mayRetry(Error{ErrorKind::Storage, "damaged"}, Start));
}

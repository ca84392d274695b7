#include "fakeplatform/platformsystem.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// VMs have this long to learn of a limit that an upstream named.
constexpr Duration ContactWindow = std::chrono::seconds(3);
/// The window in which an upstream may get MaxOverrun times its limit, and AllowedExtra requests more.
constexpr Duration Window = std::chrono::seconds(4);
constexpr double MaxOverrun = 1.5;
constexpr int AllowedExtra = 5;

/// Callers at both entry VMs that send one request after the other.
class BusyCallers
{
public:
    explicit BusyCallers(const System &system)
    {
        constexpr int Callers = 8;
        for (int caller = 0; caller < Callers; ++caller) {
            m_threads.emplace_back([this, &system, caller] {
                for (int sent = 0; !m_stopped; ++sent) {
                    const std::string id = std::to_string(caller) + "-" + std::to_string(sent);
                    http(system.callerAddress(ControlVms + 1 + caller % EntryVms), "POST", "/deposits/a", callerHeaders(id), id);
                }
            });
        }
    }
    ~BusyCallers()
    {
        m_stopped = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }
    BusyCallers(const BusyCallers &) = delete;
    BusyCallers &operator=(const BusyCallers &) = delete;

private:
    std::atomic<bool> m_stopped = false;
    std::vector<std::thread> m_threads;
};

}

// Guards against an upstream in need that gets as many requests as its slots take, whatever it asks for in its answers.
TEST_CASE("process: an upstream that names a request limit gets no more than that from all VMs together")
{
    constexpr double Limit = 2;
    System system;
    system.platform.setRequestLimit("2.0");
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    const BusyCallers callers(system);
    REQUIRE(eventually([&] { return !system.platform.seen().empty(); }));
    std::this_thread::sleep_for(ContactWindow);
    const std::size_t before = system.platform.seen().size();
    std::this_thread::sleep_for(Window);
    const std::size_t sent = system.platform.seen().size() - before;
    CHECK(static_cast<double>(sent) <= MaxOverrun * Limit * std::chrono::duration<double>(Window).count() + AllowedExtra);
    CHECK(sent > 0);
}

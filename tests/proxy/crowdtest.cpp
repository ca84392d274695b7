#include "proxy/entryvmtasks.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

/// Requests that come to the first VM on new connections; callers whose connection is refused, or closed unread, go to the second VM.
class Crowd
{
public:
    explicit Crowd(EntryVmTasks &vms)
        : m_vms(vms)
    {
    }
    /// Sends requests at a steady pace, whatever becomes of them, and waits for the last answer.
    void send(int count, Duration pause)
    {
        std::vector<std::thread> callers;
        for (int request = 0; request < count; ++request) {
            callers.emplace_back([this, request] { sendOne("crowd-" + std::to_string(request)); });
            std::this_thread::sleep_for(pause);
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    /// Requests that the first VM read, and those of them that it served in time.
    std::atomic<int> read = 0;
    std::atomic<int> served = 0;
    std::atomic<int> servedElsewhere = 0;

private:
    void sendOne(const std::string &id)
    {
        HeaderList headers{{"Host", "desk.example"}, {"Cumindyke-Request-Id", id}, {"Cumindyke-Deadline-Ms", "1000"}, {"Cumindyke-Key", "key-1"}};
        const HttpAnswer answer = http(m_vms.callerAddress(0), "POST", "/deposits/a", headers, id);
        if (answer.status == 0 && answer.failure) {
            headers[1].second += "-again";
            servedElsewhere += http(m_vms.callerAddress(1), "POST", "/deposits/a", headers, id).status == 200 ? 1 : 0;
            return;
        }
        ++read;
        served += answer.status == 200 ? 1 : 0;
    }

    EntryVmTasks &m_vms;
};

}

// Guards against a VM that gets most new connections of a region, reads more requests than it can handle, and serves hardly any of them in time.
TEST_CASE("a VM that gets the crowd serves most of the requests that it reads, and the others are served elsewhere")
{
    constexpr int Requests = 400;
    EntryVmTasks vms(2, 6);
    REQUIRE(eventually([&] { return vms.isServed(0, "warm" + std::to_string(vms.platform.seen().size())); }));
    // Each request takes 20 ms of the VM's time: it can handle a third of what comes.
    vms.cuts[0] = Cut::Slow;
    Crowd crowd(vms);
    crowd.send(Requests, std::chrono::milliseconds(7));
    CAPTURE(crowd.read, crowd.served, crowd.servedElsewhere);
    CHECK(crowd.served * 4 >= crowd.read * 3);
    CHECK((crowd.served + crowd.servedElsewhere) * 4 >= Requests * 3);
}

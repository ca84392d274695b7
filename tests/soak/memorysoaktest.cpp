#include "soak/calmsystem.h"
#include "support/soaksocket.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <iostream>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr int EntryVm = ControlVms + 1;
constexpr std::size_t MemoryLimitMb = 260;
/// Of the limit, at the peak.
constexpr double MaxPart = 0.8;

struct Crowd
{
    const char *name;
    int callers = 0;
    std::size_t bodyBytes = 0;
    /// How long each caller holds back the last byte of its body.
    std::chrono::milliseconds holdsBack{0};
    const char *key = "key-1";
    bool asksControl = false;
    bool isChunked = false;
};

/// The largest resident memory so far, in MB; 0 if the process is just starting or ending.
std::size_t peakMemoryMb(pid_t process)
{
    const std::string status = contentOf("/proc/" + std::to_string(process) + "/status");
    const std::size_t at = status.find("VmHWM:");
    return at == std::string::npos ? 0 : std::stoul(status.substr(at + 6)) / 1024;
}

std::string limitSettings()
{
    // The daemons of earlier versions don't know the setting.
    const bool isPresent = std::getenv("CUMINDYKE_DAEMON") == nullptr;
    return isPresent ? "memory_limit_mb = " + std::to_string(MemoryLimitMb) + "\n" : "";
}

std::chrono::seconds soakLength()
{
    const char *seconds = std::getenv("CUMINDYKE_SOAK_SECONDS");
    return std::chrono::seconds(seconds ? std::stoi(seconds) : 4);
}

/// Callers in one thread. Each sends a request, holds back the last byte, reads the answer and begins again on a new connection.
class CrowdOfCallers
{
public:
    CrowdOfCallers(const Crowd &crowd, const Address &address)
        : m_crowd(crowd)
        , m_address(address)
        , m_callers(static_cast<std::size_t>(crowd.callers))
    {
        std::string body(crowd.bodyBytes, 'x');
        std::string framing = "Content-Length: " + std::to_string(body.size());
        if (crowd.isChunked) {
            std::array<char, 20> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
            body = size.data() + body + "\r\n0\r\n\r\n";
            framing = "Transfer-Encoding: chunked";
        }
        m_tail = framing + "\r\n\r\n" + body;
    }
    ~CrowdOfCallers()
    {
        for (Caller &caller : m_callers) {
            closeSocket(caller.socket);
        }
    }
    CrowdOfCallers(const CrowdOfCallers &) = delete;
    CrowdOfCallers &operator=(const CrowdOfCallers &) = delete;

    void playUntil(Clock::time_point end)
    {
        std::vector<pollfd> polled(m_callers.size());
        for (Clock::time_point now = Clock::now(); now < end; now = Clock::now()) {
            for (std::size_t i = 0; i < m_callers.size(); ++i) {
                polled[i] = step(m_callers[i], now);
            }
            poll(polled.data(), polled.size(), 5);
            for (std::size_t i = 0; i < m_callers.size(); ++i) {
                if (polled[i].revents & (POLLIN | POLLHUP | POLLERR)) {
                    receive(m_callers[i]);
                }
            }
        }
    }
    const std::map<std::string, int> &answers() const
    {
        return m_answers;
    }

private:
    struct Caller
    {
        int socket = -1;
        std::string head;
        std::size_t sent = 0;
        Clock::time_point startedAt;
        std::string answer;
    };

    pollfd step(Caller &caller, Clock::time_point now)
    {
        if (caller.socket < 0) {
            begin(caller, now);
        }
        const std::size_t all = caller.head.size() + m_tail.size();
        const std::size_t mayBeSent = now - caller.startedAt < m_crowd.holdsBack ? all - 1 : all;
        while (caller.sent < mayBeSent) {
            const std::string &part = caller.sent < caller.head.size() ? caller.head : m_tail;
            const std::size_t offset = caller.sent < caller.head.size() ? caller.sent : caller.sent - caller.head.size();
            const ssize_t sent
                = send(caller.socket, part.data() + offset, std::min(part.size() - offset, mayBeSent - caller.sent), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent <= 0) {
                break;
            }
            caller.sent += static_cast<std::size_t>(sent);
        }
        const bool waitsToSend = caller.sent < mayBeSent;
        return pollfd{.fd = caller.socket, .events = static_cast<short>(POLLIN | (waitsToSend ? POLLOUT : 0)), .revents = 0};
    }
    void begin(Caller &caller, Clock::time_point now)
    {
        caller = Caller{.startedAt = now};
        caller.socket = connectTo(m_address);
        caller.head = m_crowd.asksControl ? "PUT /api/config HTTP/1.1\r\nHost: a\r\n"
                                          : "POST /deposits/plain/10 HTTP/1.1\r\nHost: desk.example\r\nCumindyke-Request-Id: m-" + std::to_string(m_next++)
                + "\r\nCumindyke-Deadline-Ms: 4000\r\nCumindyke-Key: " + m_crowd.key + "\r\n";
    }
    void receive(Caller &caller)
    {
        std::array<char, 4096> buffer{};
        const ssize_t got = recv(caller.socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (got > 0) {
            caller.answer.append(buffer.data(), static_cast<std::size_t>(got));
        }
        const bool isWhole = parseAnswer(caller.answer, ConnectionEnd::Open).isComplete;
        if (got > 0 && !isWhole) {
            return;
        }
        ++m_answers[isWhole ? caller.answer.substr(9, 3) : "none"];
        closeSocket(caller.socket);
    }

    const Crowd m_crowd;
    const Address m_address;
    std::string m_tail;
    std::vector<Caller> m_callers;
    int m_next = 0;
    std::map<std::string, int> m_answers;
};

}

// Guards against callers that end a VM by the memory that it holds for them: the platform ends a process over its limit, and with it all that runs there.
TEST_CASE("no crowd of callers with large bodies brings a VM near its memory limit")
{
    const std::array<Crowd, 8> crowds{
        Crowd{.name = "50 callers, 4 MB", .callers = 50, .bodyBytes = 4 << 20},
        Crowd{.name = "200 callers, 1 MB", .callers = 200, .bodyBytes = 1 << 20},
        Crowd{.name = "200 callers, 4 MB, held", .callers = 200, .bodyBytes = 4 << 20, .holdsBack = std::chrono::milliseconds(2500)},
        Crowd{
            .name = "100 callers, 4 MB in chunks, held", .callers = 100, .bodyBytes = 4 << 20, .holdsBack = std::chrono::milliseconds(2500), .isChunked = true},
        Crowd{.name = "2,500 callers, 100 KB, held", .callers = 2500, .bodyBytes = 100'000, .holdsBack = std::chrono::milliseconds(2500)},
        Crowd{.name = "100 callers, 4 MB, no key, held", .callers = 100, .bodyBytes = 4 << 20, .holdsBack = std::chrono::milliseconds(2500), .key = "x"},
        Crowd{
            .name = "control, 50 callers, 4 MB, held", .callers = 50, .bodyBytes = 4 << 20, .holdsBack = std::chrono::milliseconds(2500), .asksControl = true},
        Crowd{.name = "control, 50 callers, 4 MB", .callers = 50, .bodyBytes = 4 << 20, .asksControl = true},
    };
    for (const Crowd &crowd : crowds) {
        INFO(crowd.name);
        CalmSystem system(1, limitSettings());
        REQUIRE(system.isReady());
        const Address address = crowd.asksControl ? system.controlAddress(0) : system.entryAddresses()[0];
        std::map<std::string, int> answers;
        {
            CrowdOfCallers callers(crowd, address);
            callers.playUntil(Clock::now() + soakLength());
            answers = callers.answers();
        }
        const std::size_t peak = peakMemoryMb(system.pid(crowd.asksControl ? 1 : EntryVm));
        std::cout << crowd.name << ": " << peak << " MB at the peak; answers";
        for (const auto &[status, count] : answers) {
            std::cout << " " << status << ": " << count;
        }
        std::cout << std::endl;
        CHECK(static_cast<double>(peak) <= MaxPart * MemoryLimitMb);
        CHECK(system.endedProcesses().empty());
        CHECK(system.stillServes());
    }
}

// Guards against service that doesn't come back: the platform ends a process over its limit, and the callers that return at once end the next one.
TEST_CASE("small requests are served beside a crowd with large bodies where processes are ended at their memory limit")
{
    CalmSystem system(1, limitSettings());
    REQUIRE(system.isReady());
    const Clock::time_point end = Clock::now() + 3 * soakLength();
    std::thread crowd([&] { CrowdOfCallers(Crowd{.name = "crowd", .callers = 60, .bodyBytes = 4 << 20}, system.entryAddresses()[0]).playUntil(end); });
    int sent = 0;
    int served = 0;
    std::thread small([&] {
        for (; Clock::now() < end; ++sent) {
            const std::string id = "s-" + std::to_string(sent);
            served += http(system.entryAddresses()[0], "POST", "/deposits/plain/10", callerHeaders(id), id).status == 200 ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    });
    int ends = 0;
    while (Clock::now() < end) {
        if (peakMemoryMb(system.pid(EntryVm)) > MemoryLimitMb) {
            ++ends;
            system.endAndRestart(EntryVm);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    crowd.join();
    small.join();
    std::cout << "small requests beside the crowd: " << served << " of " << sent << " served; the process was ended " << ends << " times\n";
    CHECK(ends == 0);
    CHECK(served * 4 > sent);
}

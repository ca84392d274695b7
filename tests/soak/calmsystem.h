#pragma once

#include "fakeplatform/platformsystem.h"
#include "soak/pipeliningcaller.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <iterator>

namespace cumindyke::test
{

/// The system with upstreams that answer soundly; nothing disturbs its processes.
class CalmSystem
{
public:
    explicit CalmSystem(std::uint64_t seed, const std::string &extraSettings = {})
        : m_system(extraSettings)
    {
        m_system.platform.setSlots(SlotsPerUpstream);
        for (int number = 1; number <= Upstreams; ++number) {
            const Address address{.host = m_system.network.host(FirstPlatformHost + number), .port = UpstreamPort};
            const std::string name = "u-" + std::to_string(number);
            m_upstreams.push_back(std::make_unique<Process>(std::vector<std::string>{std::string(CUMINDYKE_BIN) + "/faultyupstream",
                                                                                     address.host,
                                                                                     std::to_string(UpstreamPort),
                                                                                     name,
                                                                                     std::to_string(seed),
                                                                                     "0",
                                                                                     m_system.folder.file("runs"),
                                                                                     "refuse"},
                                                            m_system.folder.file("upstreams"),
                                                            m_system.folder.file("upstreams")));
            m_system.platform.addUpstream(name, address);
        }
        m_isReady = m_system.publish(soakDocument()) && m_system.waitUntilReady();
    }

    bool isReady() const
    {
        return m_isReady;
    }
    std::vector<Address> entryAddresses() const
    {
        return {m_system.callerAddress(ControlVms + 1), m_system.callerAddress(ControlVms + 2)};
    }
    Address controlAddress(std::size_t number) const
    {
        return m_system.operatorAddress(1 + static_cast<int>(number % ControlVms));
    }
    std::string host(int vm) const
    {
        return m_system.network.host(vm);
    }
    pid_t pid(int vm) const
    {
        return m_system.daemons.at(vm)->pid();
    }
    bool isRunning(int vm)
    {
        return m_system.daemons.at(vm)->running();
    }
    /// Ends the VM's process, and starts the next one at once.
    void endAndRestart(int vm)
    {
        m_system.daemons.at(vm)->signal(SIGKILL);
        m_system.daemons.at(vm)->wait();
        m_system.start(vm);
    }
    RunLog runs() const
    {
        RunLog log;
        log.add(contentOf(m_system.folder.file("runs")));
        return log;
    }
    /// From now on the daemon opens no descriptor with this number or a higher one; it keeps those that it has.
    void limitDescriptors(int vm, rlim_t count)
    {
        const pid_t pid = m_system.daemons[vm]->pid();
        rlimit limit{};
        REQUIRE(prlimit(pid, RLIMIT_NOFILE, nullptr, &limit) == 0);
        limit.rlim_cur = count;
        REQUIRE(prlimit(pid, RLIMIT_NOFILE, &limit, nullptr) == 0);
    }
    std::size_t openDescriptors(int vm) const
    {
        const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(m_system.daemons.at(vm)->pid()) + "/fd");
        return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
    }
    std::vector<Violation> endedProcesses()
    {
        std::vector<Violation> found;
        for (const auto &[vm, daemon] : m_system.daemons) {
            if (!daemon->running()) {
                found.push_back({"ended", "vm " + std::to_string(vm), "exit code " + std::to_string(daemon->wait())});
            }
        }
        return found;
    }
    /// Connections that were reset by entry VMs whose logs don't tell that they refused any.
    std::vector<Violation> unexplained(const std::map<std::string, int> &refusedConnections) const
    {
        std::vector<Violation> found;
        for (int vm = ControlVms + 1; vm <= ControlVms + EntryVms; ++vm) {
            const auto refused = refusedConnections.find(host(vm));
            if (refused == refusedConnections.end()) {
                continue;
            }
            const std::string log = contentOf(m_system.folder.file("out" + std::to_string(vm)));
            if (log.find("connections-refused") == std::string::npos) {
                found.push_back({"unanswered", "vm " + std::to_string(vm), std::to_string(refused->second) + " connections were reset, and none was refused"});
            }
        }
        return found;
    }
    bool stillServes() const
    {
        return m_system.waitUntilReady() && eventually([this] { return http(controlAddress(0), "GET", "/api/config").status == 200; });
    }

private:
    static constexpr int Upstreams = 4;
    static constexpr int SlotsPerUpstream = 16;
    static constexpr std::uint16_t UpstreamPort = 9000;

    System m_system;
    std::vector<std::unique_ptr<Process>> m_upstreams;
    bool m_isReady = false;
};

}

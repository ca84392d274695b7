#include "fakeplatform/platformsystem.h"
#include "support/listeningsocket.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr int RestartedVm = ControlVms + 1;
constexpr int ControlVm = 2;

std::string settingsFile(const System &system, int vm)
{
    return system.folder.file("vm" + std::to_string(vm) + ".toml");
}

std::string logOf(const System &system, int vm)
{
    return contentOf(system.folder.file("out" + std::to_string(vm)));
}

void kill(System &system, int vm)
{
    system.daemons[vm]->signal(SIGKILL);
    system.daemons[vm]->wait();
}

/// Starts the VM with the settings that are in its file.
void startAgain(System &system, int vm)
{
    system.daemons[vm] = std::make_unique<Process>(std::vector<std::string>{daemonProgram(), "--settings", settingsFile(system, vm)},
                                                   system.folder.file("out" + std::to_string(vm)),
                                                   system.folder.file("err" + std::to_string(vm)));
}

/// A settings file whose first reader waits until the test lets it go on, and gets what the test writes. Later readers find the whole file.
class HeldSettings
{
public:
    explicit HeldSettings(std::string file)
        : m_file(std::move(file))
        , m_whole(contentOf(m_file))
    {
        REQUIRE(unlink(m_file.c_str()) == 0);
        REQUIRE(mkfifo(m_file.c_str(), 0600) == 0);
    }
    ~HeldSettings()
    {
        if (m_writer >= 0) {
            close(m_writer);
        }
    }
    HeldSettings(const HeldSettings &) = delete;
    HeldSettings &operator=(const HeldSettings &) = delete;

    void waitForReader()
    {
        REQUIRE(eventually([this] { return (m_writer = open(m_file.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0; }));
    }
    /// Gives the reader this part of the settings.
    void release(double part)
    {
        writeFile(m_file + ".whole", m_whole);
        REQUIRE(rename((m_file + ".whole").c_str(), m_file.c_str()) == 0);
        const auto length = static_cast<std::size_t>(static_cast<double>(m_whole.size()) * part);
        REQUIRE(write(m_writer, m_whole.data(), length) == static_cast<ssize_t>(length));
        close(std::exchange(m_writer, -1));
    }

private:
    const std::string m_file;
    const std::string m_whole;
    int m_writer = -1;
};

/// As long as it exists the files of the process refuse to grow.
class RefusingDisk
{
public:
    explicit RefusingDisk(pid_t process)
        : m_process(process)
    {
        REQUIRE(prlimit(m_process, RLIMIT_FSIZE, nullptr, &m_before) == 0);
        const rlimit refusing{.rlim_cur = 1, .rlim_max = m_before.rlim_max};
        REQUIRE(prlimit(m_process, RLIMIT_FSIZE, &refusing, nullptr) == 0);
    }
    ~RefusingDisk()
    {
        prlimit(m_process, RLIMIT_FSIZE, &m_before, nullptr);
    }
    RefusingDisk(const RefusingDisk &) = delete;
    RefusingDisk &operator=(const RefusingDisk &) = delete;

private:
    const pid_t m_process;
    rlimit m_before{};
};

void allowWrites(pid_t process)
{
    rlimit limit{};
    REQUIRE(prlimit(process, RLIMIT_FSIZE, nullptr, &limit) == 0);
    limit.rlim_cur = limit.rlim_max;
    REQUIRE(prlimit(process, RLIMIT_FSIZE, &limit, nullptr) == 0);
}

std::string readConfiguration(const System &system, int vm)
{
    return http(system.operatorAddress(vm), "GET", "/api/config").body;
}

void makeReady(System &system)
{
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
}

}

// Guards against a process that is ended by the platform's SIGHUP because it has just been started.
TEST_CASE("process: a SIGHUP during the start ends no process")
{
    System system;
    makeReady(system);
    for (const int vm : {RestartedVm, ControlVm}) {
        kill(system, vm);
        HeldSettings settings(settingsFile(system, vm));
        startAgain(system, vm);
        settings.waitForReader();
        system.daemons[vm]->signal(SIGHUP);
        settings.release(1);
        CHECK(eventually([&] { return !system.daemons[vm]->running() || logOf(system, vm).find("change=settings-reloaded") != std::string::npos; }));
        CHECK(system.daemons[vm]->running());
    }
    CHECK(system.waitUntilReady());
}

// Guards against a process that was ended from outside and left nothing that tells so: what the platform kills for its memory writes no line.
TEST_CASE("process: a start says whether the run before it ended without a planned stop")
{
    System system;
    makeReady(system);
    const auto saysSo = [&system] { return logOf(system, ControlVm).find("change=previous-run-ended-without-stop") != std::string::npos; };
    const auto startsIn = [](const std::string &log) { return log.find("change=started", log.rfind("change=stopped")) != std::string::npos; };
    system.daemons[ControlVm]->signal(SIGTERM);
    CHECK(system.daemons[ControlVm]->wait() == 0);
    startAgain(system, ControlVm);
    REQUIRE(eventually([&] { return startsIn(logOf(system, ControlVm)); }));
    CHECK_FALSE(saysSo());
    kill(system, ControlVm);
    startAgain(system, ControlVm);
    CHECK(eventually(saysSo));
}

// Guards against a process that a SIGTERM during its start ends by the signal, or that goes on in spite of it.
TEST_CASE("process: a SIGTERM during the start is obeyed as a planned stop")
{
    System system;
    kill(system, RestartedVm);
    HeldSettings settings(settingsFile(system, RestartedVm));
    startAgain(system, RestartedVm);
    settings.waitForReader();
    system.daemons[RestartedVm]->signal(SIGTERM);
    settings.release(1);
    CHECK(system.daemons[RestartedVm]->wait() == 0);
}

// Guards against a process that ends, or runs as another VM with the embedded defaults, because its settings were read while they were written.
TEST_CASE("process: settings that are incomplete at the start are read again")
{
    System system;
    makeReady(system);
    for (const double part : {0.0, 0.3, 0.5, 0.95}) {
        INFO("part " << part);
        kill(system, RestartedVm);
        HeldSettings settings(settingsFile(system, RestartedVm));
        startAgain(system, RestartedVm);
        settings.waitForReader();
        settings.release(part);
        CHECK(system.waitUntilReady());
        CHECK(system.daemons[RestartedVm]->running());
    }
}

// Guards against a process that ends at each restart because a socket of its predecessor still holds one of its addresses.
TEST_CASE("process: an address in use delays the start and does not end the process")
{
    System system;
    makeReady(system);
    for (const std::uint16_t port : {CallerPort, PeerPort, LeasePort}) {
        INFO("port " << port);
        kill(system, RestartedVm);
        const std::size_t before = logOf(system, RestartedVm).size();
        auto holder = std::make_unique<ListeningSocket>(system.network.host(RestartedVm), port);
        startAgain(system, RestartedVm);
        CHECK(eventually(
            [&] { return !system.daemons[RestartedVm]->running() || logOf(system, RestartedVm).find("change=start-delayed", before) != std::string::npos; }));
        holder.reset();
        CHECK(system.waitUntilReady());
        CHECK(system.daemons[RestartedVm]->running());
    }
}

// Guards against control VMs that a disk which refuses writes ends: the kernel's SIGXFSZ, or an error other than "no space left".
TEST_CASE("process: a disk that refuses writes ends no control VM, and later changes are accepted again")
{
    System system;
    makeReady(system);
    {
        std::vector<std::unique_ptr<RefusingDisk>> disks;
        for (int vm = 1; vm <= ControlVms; ++vm) {
            disks.push_back(std::make_unique<RefusingDisk>(system.daemons[vm]->pid()));
        }
        CHECK(http(system.operatorAddress(1), "PUT", "/api/config", {}, documentOf(4)).status != 200);
        for (int vm = 1; vm <= ControlVms; ++vm) {
            CHECK(system.daemons[vm]->running());
        }
    }
    CHECK(system.publish(documentOf(5)));
    CHECK(eventually([&] { return readConfiguration(system, 1) == documentOf(5); }));
    for (int vm = 1; vm <= ControlVms; ++vm) {
        CHECK(system.daemons[vm]->running());
    }
}

// Guards against a control VM whose disk is empty and takes no writes at its start, which ended at each of its starts.
TEST_CASE("process: a control VM that starts while its disk refuses writes joins when the disk takes them")
{
    System system;
    makeReady(system);
    kill(system, ControlVm);
    REQUIRE(std::system(("rm -rf " + system.folder.file("data" + std::to_string(ControlVm))).c_str()) == 0);
    const std::string file = settingsFile(system, ControlVm);
    writeFile(file, "form_cluster = false\n" + contentOf(file));
    {
        const RefusingDisk inherited(getpid());
        startAgain(system, ControlVm);
    }
    CHECK_FALSE(eventually([&] { return !system.daemons[ControlVm]->running(); }, std::chrono::seconds(3)));
    allowWrites(system.daemons[ControlVm]->pid());
    CHECK(eventually([&] { return logOf(system, ControlVm).find("change=admitted") != std::string::npos; }));
    CHECK(system.daemons[ControlVm]->running());
}

#pragma once

#include "common/types.h"
#include "upstream/upstreamcall.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Real processes for tests: daemons, stand-in upstreams and the operators' tool, on loopback addresses of the test's own.
namespace cumindyke::test
{

/// How long a condition is waited for. Generous: only a fault reaches it.
constexpr std::chrono::seconds WaitTimeout{60};

/// Checks a condition until it holds; false when the patience is over.
bool eventually(const std::function<bool()> &condition, std::chrono::seconds patience = WaitTimeout);

/// A folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const
    {
        return m_path;
    }
    std::string file(const std::string &name) const
    {
        return m_path + "/" + name;
    }

private:
    std::string m_path;
};

/// Loopback addresses 127.A.B.1 to 127.A.B.200 that no other test on this machine uses meanwhile: one for each "VM" of the test.
class TestNetwork
{
public:
    TestNetwork();
    ~TestNetwork();
    TestNetwork(const TestNetwork &) = delete;
    TestNetwork &operator=(const TestNetwork &) = delete;

    std::string host(int number) const;

private:
    std::string m_prefix;
    int m_claim = -1;
};

/// A child process; killed at the end of the test if it still runs.
class Process
{
public:
    /// Output goes to the files.
    Process(const std::vector<std::string> &command, const std::string &outFile, const std::string &errorFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// The exit code, or 128 + the signal that ended it.
    int wait();
    bool running();
    pid_t pid() const
    {
        return m_pid;
    }

private:
    pid_t m_pid;
    std::optional<int> m_exitCode;
};

struct ProcessResult
{
    int exitCode = 0;
    std::string out;
    std::string error;
};

/// Runs a program of build/bin to its end.
ProcessResult run(const std::vector<std::string> &command);

struct HttpAnswer
{
    /// 0 when there was none.
    int status = 0;
    HeaderList headers;
    std::string body;
    std::optional<CallFailure> failure;

    std::string header(const std::string &name) const;
};

/// One HTTP call, blocking.
HttpAnswer http(const Address &address, const std::string &method, const std::string &target, const HeaderList &headers = {}, const std::string &body = {});

/// A stand-in upstream process.
class FakeUpstreamProcess
{
public:
    FakeUpstreamProcess(const TemporaryFolder &folder, const std::string &name, const std::string &host, const std::vector<std::string> &more = {});

    const Address &address() const
    {
        return m_address;
    }
    /// The runs, one JSON object a line.
    std::string log() const;
    /// Sets faults (JSON).
    void setFaults(const std::string &json) const;
    Process &process()
    {
        return *m_process;
    }

private:
    std::string m_logFile;
    Address m_address;
    std::unique_ptr<Process> m_process;
};

/// A daemon process on ports 8080 and 8081 of its own address.
class DaemonProcess
{
public:
    /// Writes the settings and starts the daemon; "more" is added to the settings.
    DaemonProcess(const TemporaryFolder &folder, const std::string &vm, const std::string &host, const std::string &more = {});

    void start();
    bool waitUntilReady() const;
    Address http() const
    {
        return Address{m_host, 8080};
    }
    std::string rpc() const
    {
        return m_host + ":8081";
    }
    std::string log() const;
    Process &process()
    {
        return *m_process;
    }
    /// Runs cumindykectl against this daemon.
    ProcessResult ctl(std::vector<std::string> arguments) const;

private:
    std::string m_vm;
    std::string m_host;
    std::string m_settingsFile;
    std::string m_logFile;
    std::unique_ptr<Process> m_process;
};

std::string contentOf(const std::string &file);
void writeFile(const std::string &file, const std::string &content);

}

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

/// Runs the system's processes in tests: daemons, fake upstreams and cumindykectl, on loopback addresses reserved for the test.
namespace cumindyke::test
{

/// Default time limit of waiting for a condition. Only a fault reaches it.
constexpr std::chrono::seconds WaitTimeout{60};

/// Polls a condition until it holds; returns false after the timeout.
bool eventually(const std::function<bool()> &condition, std::chrono::seconds timeout = WaitTimeout);

/// A temporary folder, which the destructor removes.
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

/// Reserves the loopback addresses 127.A.B.1 to 127.A.B.200 against other tests on this machine: one for each simulated VM.
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
    int m_reservationSocket = -1;
};

/// A child process; the destructor kills it if it still runs.
class Process
{
public:
    /// Starts the command; its output is appended to the files.
    Process(const std::vector<std::string> &command, const std::string &outFile, const std::string &errorFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Waits for the exit and returns the exit code, or 128 + the number of the signal that ended the process.
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

/// The exit code and the output of a program.
struct ProcessResult
{
    int exitCode = 0;
    std::string out;
    std::string error;
};

/// Runs a program of build/bin until it exits.
ProcessResult run(const std::vector<std::string> &command);

struct HttpAnswer
{
    /// The HTTP status; 0 without an answer.
    int status = 0;
    HeaderList headers;
    std::string body;
    std::optional<CallFailure> failure;

    std::string header(const std::string &name) const;
};

/// Sends an HTTP request and waits for the answer.
HttpAnswer http(const Address &address, const std::string &method, const std::string &target, const HeaderList &headers = {}, const std::string &body = {});

/// A process of the fake upstream.
class FakeUpstreamProcess
{
public:
    FakeUpstreamProcess(const TemporaryFolder &folder, const std::string &name, const std::string &host, const std::vector<std::string> &extraArguments = {});

    const Address &address() const
    {
        return m_address;
    }
    /// The events of its requests, one JSON object per line.
    std::string log() const;
    /// Sets the faults to simulate, as JSON.
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

/// A daemon process on ports 8080 (HTTP) and 8081 (RPC) of its own address.
class DaemonProcess
{
public:
    /// Writes the settings, with the additional ones appended, and starts the daemon.
    DaemonProcess(const TemporaryFolder &folder, const std::string &vm, const std::string &host, const std::string &extraSettings = {});

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

/// Returns the content of a file; empty when it cannot be read.
std::string contentOf(const std::string &file);
void writeFile(const std::string &file, const std::string &content);

}

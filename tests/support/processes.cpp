#include "support/processes.h"

#include "common/tomlreader.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <strings.h>
#include <thread>

extern char **environ;

namespace cumindyke::test
{

namespace
{

constexpr std::uint16_t ReservationPort = 8079;
constexpr std::chrono::milliseconds PollInterval{10};

}

bool eventually(const std::function<bool()> &condition, std::chrono::seconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "cumindyke-test-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()));
    m_path = name;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

/// Reserves a prefix by a socket bound to its address 250: the kernel lets only one test bind it and releases it when the test ends.
TestNetwork::TestNetwork()
{
    for (int attempt = 0; attempt < 5000; ++attempt) {
        const int number = (static_cast<int>(getpid()) + attempt) % 60'000;
        const std::string prefix = "127." + std::to_string(2 + number / 250) + "." + std::to_string(1 + number % 250) + ".";
        const int reservationSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(ReservationPort)};
        inet_pton(AF_INET, (prefix + "250").c_str(), &address.sin_addr);
        if (bind(reservationSocket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0 && listen(reservationSocket, 1) == 0) {
            m_prefix = prefix;
            m_reservationSocket = reservationSocket;
            return;
        }
        close(reservationSocket);
    }
    FAIL("no free loopback addresses");
}

TestNetwork::~TestNetwork()
{
    close(m_reservationSocket);
}

std::string TestNetwork::host(int number) const
{
    return m_prefix + std::to_string(number);
}

Process::Process(const std::vector<std::string> &command, const std::string &outFile, const std::string &errorFile)
{
    std::vector<char *> arguments;
    for (const std::string &word : command) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, outFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_addopen(&files, STDERR_FILENO, errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    const int failure = posix_spawn(&m_pid, command[0].c_str(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    REQUIRE(failure == 0);
}

Process::~Process()
{
    if (running()) {
        signal(SIGKILL);
        wait();
    }
}

void Process::signal(int number) const
{
    if (!m_exitCode) {
        kill(m_pid, number);
    }
}

int Process::wait()
{
    if (!m_exitCode) {
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return *m_exitCode;
}

bool Process::running()
{
    int status = 0;
    if (!m_exitCode && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return !m_exitCode;
}

ProcessResult run(const std::vector<std::string> &command)
{
    const TemporaryFolder folder;
    std::vector<std::string> absolute = command;
    absolute[0] = std::string(CUMINDYKE_BIN) + "/" + command[0];
    Process process(absolute, folder.file("out"), folder.file("error"));
    ProcessResult finished{.exitCode = process.wait()};
    finished.out = contentOf(folder.file("out"));
    finished.error = contentOf(folder.file("error"));
    return finished;
}

std::string HttpAnswer::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

HttpAnswer http(const Address &address, const std::string &method, const std::string &target, const HeaderList &headers, const std::string &body)
{
    EventLoop loop;
    HttpAnswer answer;
    const ProgressTimeouts timeouts{.connect = WaitTimeout, .firstByte = WaitTimeout, .betweenBytes = WaitTimeout};
    UpstreamRequest request{.id = {}, .address = address, .method = method, .target = target, .headers = {}, .body = body};
    for (const auto &[name, value] : headers) {
        if (name == "Host") {
            request.host = value;
        } else {
            request.headers.emplace_back(name, value);
        }
    }
    UpstreamCall call(loop, std::move(request), timeouts);
    call.head().connect([&answer](const AnswerHead &head) {
        answer.status = head.status;
        answer.headers = head.headers;
    });
    call.data().connect([&answer](std::string_view bytes) { answer.body += bytes; });
    call.finished().connect([&loop] { loop.stop(); });
    call.failed().connect([&loop, &answer](CallFailure failure) {
        answer.failure = failure;
        loop.stop();
    });
    call.start();
    loop.run();
    call.cancel();
    return answer;
}

FakeUpstreamProcess::FakeUpstreamProcess(const TemporaryFolder &folder,
                                         const std::string &name,
                                         const std::string &host,
                                         const std::vector<std::string> &extraArguments)
    : m_logFile(folder.file(name + ".runs"))
{
    std::vector<std::string> command{std::string(CUMINDYKE_BIN) + "/fakeupstream", "--name", name, "--host", host, "--log", m_logFile};
    command.insert(command.end(), extraArguments.begin(), extraArguments.end());
    const std::string out = folder.file(name + ".out");
    m_process = std::make_unique<Process>(command, out, folder.file(name + ".error"));
    std::smatch match;
    std::string text;
    REQUIRE(eventually([&] {
        text = contentOf(out);
        return std::regex_search(text, match, std::regex("listening ([0-9]+)\n"));
    }));
    m_address = Address{host, static_cast<std::uint16_t>(std::stoi(match[1]))};
}

std::string FakeUpstreamProcess::log() const
{
    return contentOf(m_logFile);
}

void FakeUpstreamProcess::setFaults(const std::string &json) const
{
    REQUIRE(test::http(m_address, "POST", "/faults", {}, json).status == 200);
}

DaemonProcess::DaemonProcess(const TemporaryFolder &folder, const std::string &vm, const std::string &host, const std::string &extraSettings)
    : m_vm(vm)
    , m_host(host)
    , m_settingsFile(folder.file(vm + ".toml"))
    , m_logFile(folder.file(vm + ".log"))
{
    writeFile(m_settingsFile,
              "vm = \"" + vm + "\"\nhttp_address = \"" + host + ":8080\"\nrpc_address = \"" + host + ":8081\"\ndata_folder = \"" + folder.file(vm) + "\"\n"
                  + extraSettings);
    start();
}

void DaemonProcess::start()
{
    m_process
        = std::make_unique<Process>(std::vector<std::string>{std::string(CUMINDYKE_BIN) + "/cumindyked", "--settings", m_settingsFile}, m_logFile, m_logFile);
    REQUIRE(eventually([this] { return !m_process->running() || test::http(http(), "GET", "/healthz").status == 200; }));
    INFO(log());
    REQUIRE(m_process->running());
}

bool DaemonProcess::waitUntilReady() const
{
    return eventually([this] { return test::http(http(), "GET", "/readyz").status == 200; });
}

std::string DaemonProcess::log() const
{
    return contentOf(m_logFile);
}

ProcessResult DaemonProcess::ctl(std::vector<std::string> arguments) const
{
    arguments.insert(arguments.begin(), "cumindykectl");
    arguments.insert(arguments.end(), {"--server", rpc()});
    return run(arguments);
}

std::string contentOf(const std::string &file)
{
    const Result<std::string> content = readFile(file);
    return ok(content) ? valueOf(content) : "";
}

void writeFile(const std::string &file, const std::string &content)
{
    std::ofstream(file, std::ios::trunc) << content;
}

}

#include "common/fatalerrors.h"

#include <event2/event.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <fstream>
#include <string_view>

namespace cumindyke
{

namespace
{

constexpr std::size_t MaxReasonBytes = 256;
constexpr std::size_t MaxLineBytes = 640;

struct Input
{
    int socket = -1;
    const char *state = "none";
};
thread_local Input lastInput;
/// libevent's last error message, which comes before the fatal error itself.
thread_local std::array<char, MaxReasonBytes> lastError{};
/// Empty: there is no file.
std::array<char, 4096> reportFile{};

void copyReason(std::string_view reason, std::array<char, MaxReasonBytes> &to)
{
    const std::size_t length = std::min(reason.size(), to.size() - 1);
    std::memcpy(to.data(), reason.data(), length);
    to[length] = '\0';
    // The line quotes it.
    std::replace_if(
        to.data(), to.data() + length, [](unsigned char byte) { return byte < ' ' || byte == '"' || byte == '\\'; }, '\'');
}

/// Allocates nothing and takes no lock: memory may be used up, and the log's thread may be the one that ends.
void writeLine(std::string_view reason)
{
    std::array<char, MaxReasonBytes> quoted{};
    copyReason(reason, quoted);
    std::array<char, INET_ADDRSTRLEN + 8> peer{"none"};
    sockaddr_in address{};
    socklen_t length = sizeof address;
    if (getpeername(lastInput.socket, reinterpret_cast<sockaddr *>(&address), &length) == 0 && address.sin_family == AF_INET) {
        std::array<char, INET_ADDRSTRLEN> host{};
        inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
        std::snprintf(peer.data(), peer.size(), "%s:%d", host.data(), ntohs(address.sin_port));
    }
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    tm parts{};
    gmtime_r(&now.tv_sec, &parts);
    std::array<char, 32> time{};
    strftime(time.data(), time.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, MaxLineBytes> line{};
    const int written = std::snprintf(line.data(),
                                      line.size(),
                                      "time=%s.%03ldZ level=FATAL component=daemon change=process-ends why=\"%s\" connection=%d peer=%s state=%s\n",
                                      time.data(),
                                      now.tv_nsec / 1'000'000,
                                      quoted.data(),
                                      lastInput.socket,
                                      peer.data(),
                                      lastInput.state);
    const auto bytes = static_cast<std::size_t>(std::clamp(written, 0, static_cast<int>(line.size()) - 1));
    // Nothing is left to be done if a line can't be written.
    static_cast<void>(write(STDOUT_FILENO, line.data(), bytes));
    if (reportFile.front() != '\0') {
        const int file = open(reportFile.data(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        static_cast<void>(write(file, line.data(), bytes));
    }
}

void onLibraryMessage(int severity, const char *message)
{
    if (severity == EVENT_LOG_ERR) {
        copyReason(message, lastError);
    }
    if (severity == EVENT_LOG_ERR || severity == EVENT_LOG_WARN) {
        std::fprintf(stderr, "libevent: %s\n", message);
    }
}

/// Without a return: libevent would call exit(), which destroys what other threads use.
void onFatalError(int /*code*/)
{
    writeLine(lastError.data());
    std::_Exit(EXIT_FAILURE);
}

void onAbort(int /*number*/)
{
    writeLine("abort() was called");
    // The handler was reset when it was called: this ends the process.
    std::raise(SIGABRT);
}

[[noreturn]] void onTerminate()
{
    // writeLine() is not called again for the signal.
    std::signal(SIGABRT, SIG_DFL);
    if (const std::exception_ptr uncaught = std::current_exception()) {
        try {
            std::rethrow_exception(uncaught);
        } catch (const std::exception &exception) {
            writeLine(exception.what());
        } catch (...) {
            writeLine("an exception of an unknown type");
        }
    } else {
        writeLine("std::terminate() was called");
    }
    std::abort();
}

}

void reportFatalErrors(const std::string &file)
{
    if (file.size() < reportFile.size()) {
        std::ranges::copy(file, reportFile.begin());
    }
    event_set_log_callback(&onLibraryMessage);
    event_set_fatal_callback(&onFatalError);
    std::set_terminate(&onTerminate);
    struct sigaction action = {};
    action.sa_handler = &onAbort;
    action.sa_flags = SA_RESETHAND | SA_NODEFER;
    sigaction(SIGABRT, &action, nullptr);
}

int countFatalErrors(const std::string &file)
{
    std::ifstream stream(file);
    int count = 0;
    for (std::string line; std::getline(stream, line);) {
        ++count;
    }
    return count;
}

void noteInput(int socket, const char *state)
{
    lastInput = Input{.socket = socket, .state = state};
}

}

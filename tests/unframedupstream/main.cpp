// An upstream as a process of its own whose answers have neither a length nor chunks, for tests that kill it: "unframedupstream HOST PORT".
//
// Listens as soon as the address is free, so that a process that is started in advance succeeds the one that is killed at once. Writes "listening" when
// it does. Each answer has PieceCount pieces, each written at once, and then ends with its connection. A request without an id is answered as a health check.
//
// SIGUSR1 ends the process as its peers see it where packets are lost: the connections with answers end at once, and the others, on which nothing is done
// any more, LateEndTime later.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <string>
#include <thread>

namespace
{

constexpr int PieceCount = 10;
constexpr std::chrono::milliseconds PieceInterval{2};
constexpr std::chrono::milliseconds LateEndTime{250};

std::atomic<bool> hasEnded = false;

std::string headerOf(const std::string &head, const std::string &name)
{
    const std::size_t begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

bool writeAll(int connection, const std::string &bytes)
{
    return send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

/// Returns the request up to the end of its body; empty: the other end has left.
std::string readRequest(int connection)
{
    std::string request;
    for (;;) {
        const std::size_t headLength = request.find("\r\n\r\n");
        if (headLength != std::string::npos) {
            const std::string length = headerOf(request, "Content-Length");
            if (request.size() >= headLength + 4 + (length.empty() ? 0 : std::stoul(length))) {
                return request;
            }
        }
        char buffer[4096];
        const ssize_t received = read(connection, buffer, sizeof buffer);
        if (received <= 0) {
            return {};
        }
        request.append(buffer, static_cast<std::size_t>(received));
    }
}

/// Leaves all sockets as they are.
[[noreturn]] void waitForExit()
{
    for (;;) {
        pause();
    }
}

[[noreturn]] void endLate()
{
    hasEnded = true;
    std::this_thread::sleep_for(LateEndTime);
    _exit(EXIT_SUCCESS);
}

void answer(int connection)
{
    const std::string request = readRequest(connection);
    if (hasEnded) {
        waitForExit();
    }
    if (headerOf(request, "Cumindyke-Request-Id").empty()) {
        writeAll(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        close(connection);
        return;
    }
    const bool isStream = request.starts_with("POST /drafts");
    bool goesOn = writeAll(connection,
                           std::string("HTTP/1.1 200 OK\r\nContent-Type: ") + (isStream ? "text/event-stream" : "text/plain")
                               + "\r\nCumindyke-Request-Id: " + headerOf(request, "Cumindyke-Request-Id") + "\r\nCumindyke-Runner-Seal: seal\r\n\r\n");
    for (int piece = 1; goesOn && !hasEnded && piece <= PieceCount; ++piece) {
        const std::string number = std::to_string(piece);
        goesOn = writeAll(connection, isStream ? "id: " + number + "\ndata: piece\n\n" : "piece " + number + "\n");
        std::this_thread::sleep_for(PieceInterval);
    }
    close(connection);
}

}

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 3) {
        return EXIT_FAILURE;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(arguments[2])));
    if (inet_pton(AF_INET, arguments[1], &address.sin_addr) != 1) {
        return EXIT_FAILURE;
    }
    sigset_t lateEnd;
    sigemptyset(&lateEnd);
    sigaddset(&lateEnd, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &lateEnd, nullptr);
    std::thread([lateEnd] {
        int signal = 0;
        sigwait(&lateEnd, &signal);
        endLate();
    }).detach();
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (write(STDOUT_FILENO, "started\n", 8) != 8) {
        return EXIT_FAILURE;
    }
    while (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        // The predecessor still listens.
    }
    if (listen(listener, 128) != 0 || write(STDOUT_FILENO, "listening\n", 10) != 10) {
        return EXIT_FAILURE;
    }
    for (;;) {
        const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (hasEnded) {
            waitForExit();
        }
        if (connection >= 0) {
            setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
            std::thread(answer, connection).detach();
        }
    }
}

#include "soak/soakcaller.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <thread>

namespace cumindyke::test
{

namespace
{

/// Longer than any route's deadline.
constexpr std::chrono::seconds AnswerTimeout{12};
constexpr std::chrono::milliseconds ReadTimeout{200};
constexpr std::chrono::milliseconds SendTimeout{3000};
constexpr int SmallReceiveBuffer = 4 << 10;
constexpr std::size_t MaxUploadBytes = 1 << 20;

void setTimeout(int socket, int option, std::chrono::milliseconds timeout)
{
    const timeval value{.tv_sec = timeout.count() / 1000, .tv_usec = timeout.count() % 1000 * 1000};
    setsockopt(socket, SOL_SOCKET, option, &value, sizeof value);
}

}

SoakCaller::~SoakCaller()
{
    disconnect();
}

std::size_t SoakCaller::below(std::size_t bound)
{
    return m_random() % bound;
}

bool SoakCaller::connectToAny()
{
    const Address &entryVm = m_entryVms[below(m_entryVms.size())];
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (below(4) == 0) {
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &SmallReceiveBuffer, sizeof SmallReceiveBuffer);
    }
    setTimeout(m_socket, SO_RCVTIMEO, ReadTimeout);
    setTimeout(m_socket, SO_SNDTIMEO, SendTimeout);
    sockaddr_in to{.sin_family = AF_INET, .sin_port = htons(entryVm.port), .sin_addr = {}, .sin_zero = {}};
    inet_pton(AF_INET, entryVm.host.c_str(), &to.sin_addr);
    if (connect(m_socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0) {
        return true;
    }
    disconnect();
    return false;
}

void SoakCaller::disconnect()
{
    if (m_socket >= 0) {
        close(m_socket);
        m_socket = -1;
    }
}

void SoakCaller::run(const std::atomic<bool> &stop)
{
    struct Route
    {
        const char *name;
        bool isStream;
        bool isIdempotent;
    };
    constexpr std::array<Route, 4> Routes{{{"lookups", false, true}, {"deposits", false, false}, {"drafts", true, false}, {"texts", true, true}}};
    while (!stop) {
        if (m_socket < 0 && !connectToAny()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        const Route &route = Routes[below(Routes.size())];
        // The large plain answers exceed what the daemon holds before it passes an answer on.
        const std::size_t count = 1 + below(!route.isStream && below(8) == 0 ? 12'000 : 16);
        const SoakRequest request{
            .id = m_prefix + "-" + std::to_string(++m_sent), .isStream = route.isStream, .isIdempotent = route.isIdempotent, .count = static_cast<int>(count)};
        const bool isHttp10 = below(8) == 0;
        const std::size_t manner = below(12);
        sendRequest(request, route.name, isHttp10);
        readAnswer(request, manner == 0 ? Manner::Slow : manner == 1 ? Manner::Leaves : Manner::Usual, isHttp10);
        if (below(10) == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(below(200)));
        }
        reportBytesBehindLast();
    }
}

void SoakCaller::sendRequest(const SoakRequest &request, const std::string &route, bool isHttp10)
{
    const std::size_t bodyBytes = below(4) == 0 ? 1024 + below(below(2) == 0 ? MaxUploadBytes : 32 << 10) : below(100);
    std::string bytes = "POST /" + route + (request.isStream ? "/events/" : "/plain/") + std::to_string(request.count) + (isHttp10 ? " HTTP/1.0" : " HTTP/1.1")
        + "\r\nHost: desk.example\r\nCumindyke-Request-Id: " + request.id
        + "\r\nCumindyke-Deadline-Ms: 4000\r\nCumindyke-Key: key-1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'u');
    for (std::size_t at = 0; at < bytes.size();) {
        const ssize_t sent = send(m_socket, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (sent <= 0) {
            // An answer may have come before the upload was complete.
            return;
        }
        at += static_cast<std::size_t>(sent);
    }
}

void SoakCaller::readAnswer(const SoakRequest &request, Manner manner, bool isHttp10)
{
    const auto deadline = std::chrono::steady_clock::now() + AnswerTimeout;
    const std::size_t leaveAfter = below(2000);
    std::array<char, 64 << 10> buffer{};
    std::string received;
    ConnectionEnd end = ConnectionEnd::Open;
    CallerAnswer answer;
    bool leaves = false;
    while (!answer.isComplete && !answer.isMalformed && end == ConnectionEnd::Open && !leaves && std::chrono::steady_clock::now() < deadline) {
        const ssize_t got = recv(m_socket, buffer.data(), manner == Manner::Slow ? 4 << 10 : buffer.size(), 0);
        if (got > 0) {
            received.append(buffer.data(), static_cast<std::size_t>(got));
        } else if (got == 0) {
            end = ConnectionEnd::InOrder;
        } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
            end = ConnectionEnd::Reset;
        }
        answer = parseAnswer(received, end);
        leaves = manner == Manner::Leaves && (got < 0 || received.size() > leaveAfter);
        if (manner == Manner::Slow) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    const std::string_view behind = answer.isComplete ? std::string_view(received).substr(answer.bytes) : std::string_view();
    const std::vector<Violation> found = checkAnswer(request, answer, behind);
    const bool isOpen = answer.isComplete && end == ConnectionEnd::Open && !isHttp10 && found.empty();
    const auto connection = answer.headers.find("connection");
    if (!isOpen || (connection != answer.headers.end() && connection->second == "close")) {
        disconnect();
    }
    m_last = request;
    const std::lock_guard lock(m_record.mutex);
    m_record.violations.insert(m_record.violations.end(), found.begin(), found.end());
    m_record.unanswered += end == ConnectionEnd::Open && !answer.isComplete && !leaves ? 1 : 0;
    m_record.longestBodyBytes = std::max(m_record.longestBodyBytes, answer.body.size());
    answer.body = {};
    m_record.outcomes.push_back({.request = request, .answer = std::move(answer)});
}

/// A connection on which nothing was asked may end, but must not bring bytes.
void SoakCaller::reportBytesBehindLast()
{
    std::array<char, 80> buffer{};
    if (m_socket < 0) {
        return;
    }
    const ssize_t got = recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (got >= 0) {
        disconnect();
    }
    if (got > 0) {
        const std::lock_guard lock(m_record.mutex);
        m_record.violations.push_back({"bytes-behind", m_last.id, std::string(buffer.data(), static_cast<std::size_t>(got))});
    }
}

}

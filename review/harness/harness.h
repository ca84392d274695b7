// Stand-ins for a small deployment on loopback: the platform's list of runners, runners, callers and the operator. Used by the cases of this folder.
// The daemons are started as separate processes with the command of deploy/system.toml.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

using Clock = std::chrono::steady_clock;

inline double now()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// record.txt of the case: one line for each thing that was sent, answered or run.
class Record
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_file) {
            return;
        }
        std::fprintf(m_file, "%8.3f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

inline Record record;

inline std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message
{
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }
    int status() const
    {
        return firstLine.size() >= 12 ? std::atoi(firstLine.c_str() + 9) : 0;
    }
    std::string word(int number) const
    {
        std::istringstream words(firstLine);
        std::string found;
        for (int i = 0; i <= number; ++i) {
            found.clear();
            words >> found;
        }
        return found;
    }
};

/// A TCP connection that reads HTTP/1.1 messages.
class Channel
{
public:
    explicit Channel(int socket = -1)
        : m_socket(socket)
    {
    }
    ~Channel()
    {
        close();
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    bool connect(const std::string &ip, int port, const std::string &fromIp = {})
    {
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (!fromIp.empty()) {
            sockaddr_in source{};
            source.sin_family = AF_INET;
            inet_pton(AF_INET, fromIp.c_str(), &source.sin_addr);
            bind(m_socket, reinterpret_cast<sockaddr *>(&source), sizeof source);
        }
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &target.sin_addr);
        const int enabled = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        if (::connect(m_socket, reinterpret_cast<sockaddr *>(&target), sizeof target) != 0) {
            close();
            return false;
        }
        return true;
    }
    bool isOpen() const
    {
        return m_socket >= 0;
    }
    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
            m_socket = -1;
        }
    }
    /// Closes the connection with a reset.
    void reset()
    {
        const linger value{.l_onoff = 1, .l_linger = 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &value, sizeof value);
        close();
    }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t done = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (done <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(done);
        }
        return true;
    }
    /// Reads more bytes; false: the connection has ended, or nothing came until the deadline.
    bool fill(double deadline)
    {
        pollfd state{.fd = m_socket, .events = POLLIN, .revents = 0};
        const double left = deadline - now();
        if (left <= 0 || poll(&state, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            return false;
        }
        char bytes[16384];
        const ssize_t count = recv(m_socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            m_ended = true;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool hasEnded() const
    {
        return m_ended;
    }
    /// Whether the peer has closed the connection; nothing is read.
    bool isPeerGone() const
    {
        pollfd state{.fd = m_socket, .events = POLLRDHUP, .revents = 0};
        return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    /// Reads a request or a response. Returns nothing if the connection ended before it was complete, or at the deadline.
    std::optional<Message> read(double deadline, bool isRequest)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return {};
            }
        }
        Message message;
        std::istringstream head(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::string line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (message.firstLine.empty()) {
                message.firstLine = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t begin = line.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(line.substr(0, colon), begin == std::string::npos ? "" : line.substr(begin));
            }
        }
        if (lower(message.header("Transfer-Encoding")) == "chunked") {
            return readChunks(message, deadline) ? std::optional(message) : std::nullopt;
        }
        const std::string length = message.header("Content-Length");
        if (length.empty() && !isRequest && message.status() != 204 && message.status() != 304) {
            while (fill(deadline)) {
            }
            message.body = std::exchange(m_buffer, {});
            return message;
        }
        const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
        while (m_buffer.size() < size) {
            if (!fill(deadline)) {
                return {};
            }
        }
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return message;
    }
    const std::string &unread() const
    {
        return m_buffer;
    }
    int socketNumber() const
    {
        return m_socket;
    }

private:
    bool readChunks(Message &message, double deadline)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, end + 2);
            while (m_buffer.size() < size + 2) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            message.body += m_buffer.substr(0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int m_socket;
    bool m_ended = false;
    std::string m_buffer;
};

/// Listens on an address and runs a function in a thread for each connection.
class Listener
{
public:
    ~Listener()
    {
        stop();
    }
    bool start(const std::string &ip, int port, std::function<void(Channel &)> serve)
    {
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int enabled = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(m_socket, 512) != 0) {
            ::close(m_socket);
            m_socket = -1;
            return false;
        }
        m_accepting = true;
        m_thread = std::thread([this, serve = std::move(serve)] {
            while (m_accepting) {
                pollfd state{.fd = m_socket, .events = POLLIN, .revents = 0};
                if (poll(&state, 1, 100) <= 0) {
                    continue;
                }
                const int accepted = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    continue;
                }
                const int on = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                ++m_open;
                std::thread([this, accepted, serve] {
                    {
                        Channel channel(accepted);
                        serve(channel);
                    }
                    --m_open;
                }).detach();
            }
        });
        return true;
    }
    /// Refuses connections from now on; open ones go on.
    void stop()
    {
        m_accepting = false;
        if (m_socket >= 0) {
            shutdown(m_socket, SHUT_RDWR);
        }
        if (m_thread.joinable()) {
            m_thread.join();
        }
        if (m_socket >= 0) {
            ::close(m_socket);
            m_socket = -1;
        }
    }
    int openCount() const
    {
        return m_open;
    }

private:
    int m_socket = -1;
    std::atomic<bool> m_accepting = false;
    std::atomic<int> m_open = 0;
    std::thread m_thread;
};

/// A request that a runner began to work on.
struct Run
{
    double at = 0;
    std::string runner;
    std::string id;
    std::string method;
    std::string target;
    std::string tenant;
    std::string body;
    Message request;
    /// "served", "dropped" (the caller's channel was closed first) or "cut" (the runner ended first); empty: still at work.
    std::string end;
};

class Runs
{
public:
    std::size_t add(Run run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(run));
        return m_runs.size() - 1;
    }
    void setEnd(std::size_t index, const std::string &end)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[index].end = end;
    }
    std::vector<Run> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

inline Runs runs;

/// A runner as PROTOCOL.md describes it: runs "slots" requests at a time, queues a few more, refuses the rest without running them.
struct Runner
{
    std::string id;
    std::string service;
    std::string ip;
    int port = 0;
    std::string zone;
    std::string version = "v1";
    int slots = 6;
    int queue = 24;
    std::string state = "ready";
    std::atomic<int> workMs{60};
    /// The process has ended: all channels are reset.
    std::atomic<bool> ended{false};
    /// Each of so many answers has no length and is broken off by a reset; 0: none.
    std::atomic<int> breakEvery{0};
    /// Each of so many answers is lost: the request runs, and the channel is reset before the answer; 0: none.
    std::atomic<int> loseEvery{0};
    std::atomic<int> answers{0};
    Listener listener;
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;

    std::string address() const
    {
        return ip + ":" + std::to_string(port);
    }
    std::string entry() const
    {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version
            + "\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"stage\":\"unified\",\"models\":[],\"id\":\"" + id
            + "\",\"born\":1700000000000}";
    }
    bool start()
    {
        return listener.start(ip, port, [this](Channel &channel) { serve(channel); });
    }
    /// The process ends at once: connections are refused, and open ones are reset.
    void crash()
    {
        ended = true;
        listener.stop();
        freed.notify_all();
    }
    void end()
    {
        crash();
        while (listener.openCount() > 0) {
            sleepFor(0.01);
        }
    }
    /// A successor at the same address and under the same id.
    bool restart()
    {
        while (listener.openCount() > 0) {
            sleepFor(0.01);
        }
        ended = false;
        running = 0;
        waiting = 0;
        return start();
    }

private:
    static std::string head(int status, const Message &request, const std::string &more, std::size_t length)
    {
        return "HTTP/1.1 " + std::to_string(status) + " Status\r\nCumindyke-Request-Id: " + request.header("Cumindyke-Request-Id") + "\r\n" + more
            + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    }
    void serve(Channel &channel)
    {
        while (!ended) {
            const std::optional<Message> request = channel.read(now() + 0.2, true);
            if (!request) {
                if (channel.hasEnded()) {
                    return;
                }
                continue;
            }
            if (!answer(channel, *request) || lower(request->header("Connection")) == "close") {
                break;
            }
        }
        if (ended) {
            channel.reset();
        }
    }
    bool answer(Channel &channel, const Message &request)
    {
        if (request.word(1) == "/healthz") {
            return channel.send("HTTP/1.1 200 OK\r\nCumindyke-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        }
        const std::string expected = request.header("Cumindyke-Expect-Instance");
        if (!expected.empty() && expected != id) {
            return channel.send(head(421, request, "Cumindyke-Not-Executed: 1\r\n", 0));
        }
        if (request.header("Cumindyke-Request-Id").empty()) {
            return channel.send(head(400, request, "Cumindyke-Not-Executed: 1\r\n", 0));
        }
        {
            std::unique_lock lock(mutex);
            if (running >= slots && waiting >= queue) {
                return channel.send(head(503, request, "Cumindyke-Not-Executed: 1\r\n", 0));
            }
            ++waiting;
            while (running >= slots && !ended && !channel.isPeerGone()) {
                freed.wait_for(lock, std::chrono::milliseconds(5));
            }
            --waiting;
            if (ended || channel.isPeerGone()) {
                return false;
            }
            ++running;
        }
        const std::size_t index = runs.add(Run{.at = now(),
                                               .runner = id,
                                               .id = request.header("Cumindyke-Request-Id"),
                                               .method = request.word(0),
                                               .target = request.word(1),
                                               .tenant = request.header("Cumindyke-Tenant"),
                                               .body = request.body,
                                               .request = request,
                                               .end = {}});
        record.line("run      %s runs id=%s %s %s tenant=%s body_bytes=%zu",
                    id.c_str(),
                    request.header("Cumindyke-Request-Id").c_str(),
                    request.word(0).c_str(),
                    request.word(1).c_str(),
                    request.header("Cumindyke-Tenant").c_str(),
                    request.body.size());
        const double until = now() + workMs / 1000.0;
        bool isGone = false;
        while (now() < until && !ended && !isGone) {
            sleepFor(std::min(0.002, std::max(0.0, until - now())));
            isGone = channel.isPeerGone();
        }
        {
            const std::lock_guard lock(mutex);
            --running;
        }
        freed.notify_all();
        if (ended || isGone) {
            runs.setEnd(index, ended ? "cut" : "dropped");
            record.line("run      %s %s id=%s", id.c_str(), ended ? "ends and cuts off" : "drops", request.header("Cumindyke-Request-Id").c_str());
            return false;
        }
        if (loseEvery > 0 && ++answers % loseEvery == 0) {
            runs.setEnd(index, "answer lost");
            record.line("run      %s loses its answer to id=%s", id.c_str(), request.header("Cumindyke-Request-Id").c_str());
            channel.reset();
            return false;
        }
        if (breakEvery > 0 && ++answers % breakEvery == 0) {
            const std::string whole = "answer of " + id + " to " + request.header("Cumindyke-Request-Id");
            channel.send("HTTP/1.1 200 OK\r\nCumindyke-Request-Id: " + request.header("Cumindyke-Request-Id")
                         + "\r\nContent-Type: text/plain\r\nCumindyke-Runner-Seal: seal." + id + "\r\nConnection: close\r\n\r\n"
                         + whole.substr(0, whole.size() / 2));
            runs.setEnd(index, "broken off");
            record.line("run      %s breaks off its answer to id=%s with a reset", id.c_str(), request.header("Cumindyke-Request-Id").c_str());
            channel.reset();
            return false;
        }
        const std::string body = "answer of " + id + " to " + request.header("Cumindyke-Request-Id");
        const bool done = channel.send(head(200, request, "Content-Type: text/plain\r\nCumindyke-Runner-Seal: seal." + id + "\r\n", body.size()) + body);
        runs.setEnd(index, done ? "served" : "dropped");
        return done;
    }
};

/// The platform's list of runners.
class InstanceList
{
public:
    bool start(const std::string &ip, int port)
    {
        return m_listener.start(ip, port, [this](Channel &channel) {
            while (true) {
                const std::optional<Message> request = channel.read(now() + 30, true);
                if (!request) {
                    return;
                }
                std::string body;
                {
                    const std::lock_guard lock(m_mutex);
                    body = "{\"instances\":[" + m_entries + "],\"next\":null}";
                    ++m_reads;
                }
                if (!channel.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                    return;
                }
            }
        });
    }
    void set(const std::string &entries)
    {
        const std::lock_guard lock(m_mutex);
        m_entries = entries;
    }
    int reads() const
    {
        const std::lock_guard lock(m_mutex);
        return m_reads;
    }

private:
    mutable std::mutex m_mutex;
    std::string m_entries;
    int m_reads = 0;
    Listener m_listener;
};

/// A small deployment: core and edge daemons, each with a loopback address of its own, and the platform's list.
class Deployment
{
public:
    int coreCount = 3;
    int edgeCount = 2;
    InstanceList list;
    std::list<Runner> runners;

    Deployment()
    {
        std::mt19937 random(static_cast<unsigned>(getpid()) * 7919U + static_cast<unsigned>(std::chrono::system_clock::now().time_since_epoch().count()));
        m_net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        const int base = 20000 + static_cast<int>(random() % 10000);
        m_peerPort = base;
        m_leasePort = base + 15;
        controlPort = base + 100;
        frontPort = base + 101;
        readinessPort = base + 102;
        listPort = base + 103;
        runnerPort = base + 104;
        char folder[] = "/tmp/review-XXXXXX";
        m_folder = mkdtemp(folder);
    }
    ~Deployment()
    {
        stopAll();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    std::string coreIp(int number) const
    {
        return m_net + std::to_string(10 + number);
    }
    std::string edgeIp(int number) const
    {
        return m_net + std::to_string(30 + number);
    }
    std::string callerIp() const
    {
        return m_net + "200";
    }
    std::string folder() const
    {
        return m_folder;
    }
    std::string zone(int number) const
    {
        return std::string("sw-ng-") + static_cast<char>('a' + number % 3);
    }
    Runner &addRunner(const std::string &service, const std::string &id, int workMs = 60, int slots = 6)
    {
        Runner &runner = runners.emplace_back();
        const int number = static_cast<int>(runners.size());
        runner.id = id;
        runner.service = service;
        runner.ip = m_net + std::to_string(60 + number);
        runner.port = runnerPort;
        runner.zone = zone(number);
        runner.workMs = workMs;
        runner.slots = slots;
        return runner;
    }
    /// Entries of all runners that are on the list.
    std::string entries() const
    {
        std::string text;
        for (const Runner &runner : runners) {
            if (runner.state != "gone") {
                text += (text.empty() ? "" : ",") + runner.entry();
            }
        }
        return text;
    }
    void publishList(const std::string &more = {})
    {
        list.set(entries() + more);
    }
    bool start()
    {
        if (access("target/bin/cumindyked", X_OK) != 0) {
            std::fprintf(stderr, "target/bin/cumindyked is missing: run the build of deploy/system.toml first\n");
            return false;
        }
        if (!list.start(m_net + "5", listPort)) {
            return false;
        }
        for (Runner &runner : runners) {
            if (!runner.start()) {
                return false;
            }
        }
        publishList();
        for (int i = 0; i < coreCount; ++i) {
            startCore(i, true);
        }
        for (int i = 0; i < edgeCount; ++i) {
            startEdge(i, true);
        }
        return true;
    }
    void startCore(int number, bool bootstrap)
    {
        startDaemon(coreIp(number), settings(coreIp(number), zone(number), true, bootstrap));
    }
    void startEdge(int number, bool bootstrap)
    {
        startDaemon(edgeIp(number), settings(edgeIp(number), zone(number), false, bootstrap));
    }
    void signal(const std::string &ip, int number)
    {
        record.line("signal   %d to the process of %s", number, ip.c_str());
        kill(m_processes.at(ip), number);
    }
    void killAndReap(const std::string &ip)
    {
        signal(ip, SIGKILL);
        waitpid(m_processes.at(ip), nullptr, 0);
        m_processes.erase(ip);
    }
    /// To be called while the process of the core doesn't run.
    void loseDisk(int core)
    {
        record.line("disk     of %s is lost", coreIp(core).c_str());
        std::error_code ignored;
        std::filesystem::remove_all(dataFolder(coreIp(core)), ignored);
    }
    pid_t processOf(const std::string &ip) const
    {
        return m_processes.at(ip);
    }
    void stopAll()
    {
        for (const auto &[ip, process] : m_processes) {
            kill(process, SIGKILL);
        }
        for (const auto &[ip, process] : m_processes) {
            waitpid(process, nullptr, 0);
        }
        m_processes.clear();
    }
    bool isReady(int edge) const
    {
        Channel channel;
        if (!channel.connect(edgeIp(edge), readinessPort)) {
            return false;
        }
        channel.send("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto answer = channel.read(now() + 1, false);
        return answer && answer->status() == 200;
    }
    bool waitUntilReady(double seconds) const
    {
        const double deadline = now() + seconds;
        while (now() < deadline) {
            bool all = true;
            for (int i = 0; i < edgeCount; ++i) {
                all = all && isReady(i);
            }
            if (all) {
                return true;
            }
            sleepFor(0.1);
        }
        return false;
    }
    /// One call to a node's control address; status 0: no response.
    Message control(int core, const std::string &method, const std::string &path, const std::string &body, double seconds) const
    {
        Channel channel;
        if (!channel.connect(coreIp(core), controlPort)) {
            return {};
        }
        channel.send(method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                     + "\r\n\r\n" + body);
        return channel.read(now() + seconds, false).value_or(Message{});
    }
    /// As the operator: tries node after node until one gives a clear answer. Returns its status; 0: none within the time.
    int order(const std::string &method, const std::string &path, const std::string &body, double seconds, int firstCore = 0) const
    {
        const double deadline = now() + seconds;
        for (int attempt = 0; now() < deadline; ++attempt) {
            const int core = (firstCore + attempt) % coreCount;
            const int status = control(core, method, path, body, std::min(3.0, deadline - now())).status();
            record.line("operator %s %s (%zu bytes) to core %d: status %d", method.c_str(), path.c_str(), body.size(), core, status);
            if (status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429)) {
                return status;
            }
            sleepFor(0.1);
        }
        return 0;
    }

    int controlPort = 0;
    int frontPort = 0;
    int readinessPort = 0;
    int listPort = 0;
    int runnerPort = 0;

private:
    std::string dataFolder(const std::string &ip) const
    {
        return m_folder + "/data-" + ip;
    }
    /// What the platform makes of platform/settings.toml.template.
    std::string settings(const std::string &ip, const std::string &zoneName, bool isCore, bool bootstrap) const
    {
        std::string seeds;
        for (int i = 0; i < std::min(coreCount, 3); ++i) {
            seeds += (i == 0 ? "\"" : ",\"") + coreIp(i) + ":" + std::to_string(controlPort) + "\"";
        }
        std::ostringstream text;
        text << "vm = \"" << ip << "\"\ndata_centre = \"" << zoneName << "\"\nrpc_address = \"" << ip << ":" << m_peerPort << "\"\npeer_port = " << m_peerPort
             << "\nlease_port = " << m_leasePort << "\nrelay_port = " << m_leasePort << "\nplaintext = true\nreplicas = [" << seeds
             << "]\nform_cluster = " << (bootstrap ? "true" : "false")
             << "\nwanted_voters = 7\nreplace_replica_after_ms = 1500\nkeep_admitting_ms = 1800\nconfirm_within_ms = 2000\nlimit_slack = 190000\n"
                "shutdown_grace_s = 8\ndata_folder = \""
             << (isCore ? dataFolder(ip) : "") << "\"\n";
        if (isCore) {
            text << "operator_api = \"" << ip << ":" << controlPort << "\"\n";
        } else {
            text << "\n[proxy]\naddress = \"" << ip << ":" << frontPort << "\"\nreadiness_address = \"" << ip << ":" << readinessPort
                 << "\"\nupstream_list = \"" << m_net << "5:" << listPort
                 << "\"\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"quota\",\"rollout\"]\n"
                    "memory_limit_mb = 260\n";
        }
        for (const char *name : {"sw-ng-a", "sw-ng-b", "sw-ng-c"}) {
            text << "\n[[data_centres]]\nname = \"" << name << "\"\nregion = \"sw-ng\"\n";
        }
        return text.str();
    }
    void startDaemon(const std::string &ip, const std::string &text)
    {
        const std::string file = m_folder + "/" + ip + ".toml";
        std::ofstream(file) << text;
        const std::string log = m_folder + "/" + ip + ".log";
        const pid_t process = fork();
        if (process == 0) {
            std::freopen(log.c_str(), "a", stdout);
            std::freopen(log.c_str(), "a", stderr);
            setenv("CUMINDYKE_SETTINGS", file.c_str(), 1);
            execl("target/bin/cumindyked", "target/bin/cumindyked", nullptr);
            _exit(127);
        }
        m_processes[ip] = process;
        record.line("start    target/bin/cumindyked at %s, process %d", ip.c_str(), static_cast<int>(process));
    }

    std::string m_net;
    int m_peerPort = 0;
    int m_leasePort = 0;
    std::string m_folder;
    std::map<std::string, pid_t> m_processes;
};

/// A config with one plain service and its routes: "book" (non_idempotent) and "look" (idempotent), and one tenant.
struct ConfigText
{
    int version = 1;
    int timeoutMs = 5000;
    /// The value of "tenants"; empty: the tenant hule930 with the key of callers.
    std::string tenants;
    std::string service = "gbogan";
    int maxAttempts = 2;

    std::string text() const
    {
        const auto route = [this](const char *name, const char *kind, int attempts) {
            return std::string("{\"name\":\"r-") + name + "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/" + name + "/\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + std::to_string(timeoutMs) + ",\"targetLatencyMs\":300,\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":" + std::to_string(attempts) + ",\"authExempt\":false,\"sessionAffinity\":false}";
        };
        const std::string defaultTenants = "[{\"name\":\"hule930\",\"apiKeys\":[\"i9n73hh2b9wu3fexd9dn\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":"
                                           "200,\"ratePerS\":0,\"burst\":0}]";
        return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route("book", "non_idempotent", 1) + "," + route("look", "idempotent", maxAttempts)
            + "],\"services\":[{\"name\":\"" + service
            + "\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
              "4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":"
            + (tenants.empty() ? defaultTenants : tenants) + "}";
    }
};

constexpr const char *CallerKey = "i9n73hh2b9wu3fexd9dn";

inline std::string requestText(const std::string &method,
                               const std::string &path,
                               const std::string &id,
                               const std::string &body,
                               const std::string &more = {},
                               const std::string &key = CallerKey)
{
    return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nCumindyke-Request-Id: " + id + "\r\nCumindyke-Deadline-Ms: 3000\r\n"
        + (key.empty() ? "" : "Cumindyke-Key: " + key + "\r\n") + more
        + (body.empty() ? "" : "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

/// Runs a case: opens the record, and ends with ExitNotRun if it takes too long.
inline int runCase(int argumentCount, char **arguments, const std::function<int(Deployment &, bool)> &play)
{
    signal(SIGPIPE, SIG_IGN);
    now();
    const std::string folder = argumentCount > 1 ? arguments[1] : ".";
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    record.open(folder + "/record.txt");
    record.line("case     %s, disruption: %s", folder.c_str(), hasTrouble ? "yes" : "no");
    int result = ExitNotRun;
    std::atomic<bool> done = false;
    Deployment deployment;
    std::thread guard([&] {
        while (!done) {
            sleepFor(0.1);
            if (now() > 112) {
                record.line("result   not run: over time");
                deployment.stopAll();
                std::_Exit(ExitNotRun);
            }
        }
    });
    result = play(deployment, hasTrouble);
    const char *words = result == ExitHeld ? "the rule held" : result == ExitBroken ? "the rule was broken" : "the case could not run";
    record.line("result   %s", words);
    std::printf("%s\n", words);
    if (const char *keep = std::getenv("KEEP_LOGS")) {
        std::error_code ignored;
        std::filesystem::copy(deployment.folder(), keep, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing, ignored);
    }
    deployment.stopAll();
    std::error_code ignored;
    std::filesystem::remove_all(deployment.folder(), ignored);
    done = true;
    guard.join();
    std::fflush(nullptr);
    std::_Exit(result);
}

}

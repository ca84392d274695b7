// A stand-in for upstreams that answer wrongly: a process of its own with one thread for each connection.
//
//     faultyupstream HOST PORT NAME SEED PERMILLE LOG FAULT[,FAULT...]
//
// Answers .../plain/COUNT and .../events/COUNT with contentOf() of the request's id. Each fault of the list strikes with the same probability, PERMILLE in
// all. LOG gets "start ID NAME FAULT FRAMING BODY" when a run starts, with digestOf() of the request's body or "-" for one that is answered before it was read,
// "whole ID" when its answer was sent to its end, and "end ID" when the run ends. "fin ID NAME" says that a plain answer was cut by an end in order, and "reset
// ID NAME" that the reset which shows that came in time. The faults:
//     unframed     not a fault: a third of the answers, faulty ones too, end with their connection
//     stutter      the whole answer comes twice; "alien" has the second one with another request's id
//     cut          the answer ends in order within an event, length or chunk
//     reset        the answer ends by a reset; "finreset" by an end in order and then a reset
//     early        a long upload is answered, in part or whole, before it was read; then the connection is reset, half of the times after a FIN
//     status       the status is 000 or 999
//     foreign      the answer is another request's; "noid" does not name its request
//     endless      bytes without end in the head, a chunk's size or a chunk
//     silent       nothing comes after a part of the answer
//     refuse       the request is refused without running it
//     repeat       an event of a stream comes again
//     resume       half of the resumed streams begin before or after the event that follows Last-Event-Id

#include "soakcontent.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace cumindyke::test;

namespace
{

constexpr std::string_view EndOfHead = "\r\n\r\n";
/// Bound of an answer without end.
constexpr std::size_t EndlessBytes = 8 << 20;
/// An upload that is longer is answered before it was read.
constexpr std::size_t LongUploadBytes = 4 << 10;
/// A peer that reads nothing for this long has given up.
constexpr int SendTimeoutS = 10;
/// Daemons promise to see a reset that follows an end in order within this time (ProcessWatch::MinTime).
constexpr std::chrono::milliseconds SeenResetTime(20);

enum class Framing { Length, Chunks, ConnectionEnd };

struct Options
{
    std::string host;
    std::uint16_t port = 0;
    std::string name;
    unsigned permille = 0;
    int log = -1;
    bool allowsUnframed = false;
    std::vector<std::string> faults;

    bool has(const std::string &fault) const
    {
        return std::ranges::find(faults, fault) != faults.end();
    }
};

class Randomness
{
public:
    explicit Randomness(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    /// A number below the bound.
    std::size_t below(std::size_t bound)
    {
        const std::lock_guard lock(m_mutex);
        return m_engine() % std::max<std::size_t>(bound, 1);
    }

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
};

std::string headerOf(const std::string &head, const std::string &name)
{
    for (std::size_t at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at + 2)) {
        const std::string_view line = std::string_view(head).substr(at + 2, head.find("\r\n", at + 2) - at - 2);
        if (line.size() > name.size() && line[name.size()] == ':' && strncasecmp(line.data(), name.data(), name.size()) == 0) {
            const std::size_t value = line.find_first_not_of(' ', name.size() + 1);
            return value == std::string_view::npos ? std::string() : std::string(line.substr(value));
        }
    }
    return {};
}

void pauseUpTo(Randomness &random, std::size_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::microseconds(random.below(milliseconds * 1000 + 1)));
}

/// One request on one connection, which ends with its answer.
class Run
{
public:
    Run(const Options &options, Randomness &random, int socket)
        : m_options(options)
        , m_random(random)
        , m_socket(socket)
    {
    }
    ~Run()
    {
        close();
    }
    Run(const Run &) = delete;
    Run &operator=(const Run &) = delete;

    void serve()
    {
        if (!readHead()) {
            return;
        }
        if (m_id.empty()) {
            // A check whether this process runs.
            send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nup\n");
            return;
        }
        chooseAnswer();
        const std::string expected = headerOf(m_head, "Cumindyke-Expect-Instance");
        if (!expected.empty() && expected != m_options.name) {
            readBody();
            refuse("421 Misdirected Request");
            return;
        }
        const bool answersEarly = m_fault == "early" && m_bodyBytes > LongUploadBytes;
        if (!answersEarly && !readBody()) {
            return;
        }
        if (m_fault == "refuse") {
            refuse("503 Service Unavailable");
            return;
        }
        const std::string framing = m_framing == Framing::Length ? "length" : m_framing == Framing::Chunks ? "chunks" : "unframed";
        const std::string body = answersEarly ? "-" : digestOf(std::string_view(m_input).substr(0, m_bodyBytes));
        log("start " + m_id + " " + m_options.name + " " + m_fault + " " + framing + " " + body);
        if (answersEarly) {
            readBytes(m_random.below(m_bodyBytes));
        }
        answer();
        log("end " + m_id);
    }

private:
    void log(const std::string &line) const
    {
        const std::string whole = line + "\n";
        // One system call, so that lines of several processes and threads don't mix.
        if (write(m_options.log, whole.data(), whole.size()) < 0) {
            std::abort();
        }
    }
    bool receive()
    {
        std::array<char, 16 << 10> buffer{};
        const ssize_t got = recv(m_socket, buffer.data(), buffer.size(), 0);
        m_input.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        return got > 0;
    }
    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    bool readHead()
    {
        while (m_input.find(EndOfHead) == std::string::npos) {
            if (!receive()) {
                return false;
            }
        }
        m_head = m_input.substr(0, m_input.find(EndOfHead) + 2);
        m_input.erase(0, m_head.size() + 2);
        m_id = headerOf(m_head, "Cumindyke-Request-Id");
        m_bodyBytes = std::strtoul(headerOf(m_head, "Content-Length").c_str(), nullptr, 10);
        const std::string target = m_head.substr(0, m_head.find(" HTTP/"));
        m_isStream = target.find("/events/") != std::string::npos;
        m_count = std::atoi(target.c_str() + target.rfind('/') + 1);
        return true;
    }
    bool readBytes(std::size_t bytes)
    {
        while (m_input.size() < bytes) {
            if (!receive()) {
                return false;
            }
        }
        return true;
    }
    bool readBody()
    {
        return readBytes(m_bodyBytes);
    }

    void chooseAnswer()
    {
        if (!m_options.faults.empty() && m_random.below(1000) < m_options.permille) {
            m_fault = m_options.faults[m_random.below(m_options.faults.size())];
        }
        if (m_options.has("resume") && !headerOf(m_head, "Last-Event-Id").empty() && m_random.below(2) == 0) {
            m_fault = "resume";
        }
        m_framing = static_cast<Framing>(m_random.below(m_options.allowsUnframed ? 3 : 2));
        // An unframed plain answer that ends early in order can't be told from a whole one.
        if (m_fault == "cut" && m_framing == Framing::ConnectionEnd && !m_isStream) {
            m_framing = Framing::Length;
        }
    }
    void refuse(const std::string &status)
    {
        send("HTTP/1.1 " + status + "\r\nCumindyke-Request-Id: " + m_id + "\r\nCumindyke-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nfull\n");
    }

    std::string headFor(const std::string &id, std::size_t bytes)
    {
        std::string status = "200 OK";
        if (m_fault == "status") {
            status = m_random.below(2) == 0 ? "000 None" : "999 Unknown";
        }
        std::string head = "HTTP/1.1 " + status + "\r\nContent-Type: " + (m_isStream ? "text/event-stream" : "text/plain") + "\r\n";
        if (m_fault != "noid") {
            head += "Cumindyke-Request-Id: " + id + "\r\n";
        }
        head += "Cumindyke-Runner-Seal: seal-of-" + m_options.name + "\r\n";
        if (m_framing == Framing::Length) {
            head += "Content-Length: " + std::to_string(bytes) + "\r\n";
        }
        return head + (m_framing == Framing::Chunks ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    }
    /// The parts of an answer that are sent one after the other: the head, and then an event or a large piece of a plain body each.
    std::vector<std::string> piecesFor(const std::string &id, int first)
    {
        std::string body = contentOf(m_isStream, id, m_count, first);
        std::vector<std::string> pieces{headFor(id, body.size())};
        constexpr std::size_t PieceBytes = 8 << 10;
        while (!body.empty()) {
            const std::size_t event = m_isStream ? body.find("\n\n") + 2 : PieceBytes;
            const std::string piece = body.substr(0, event);
            body.erase(0, event);
            std::ostringstream size;
            size << std::hex << piece.size();
            pieces.push_back(m_framing == Framing::Chunks ? size.str() + "\r\n" + piece + "\r\n" : piece);
        }
        if (m_framing == Framing::Chunks) {
            pieces.emplace_back("0\r\n\r\n");
        }
        return pieces;
    }
    bool sendPieces(const std::vector<std::string> &pieces, std::size_t count)
    {
        for (std::size_t at = 0; at < count; ++at) {
            if (!send(pieces[at])) {
                return false;
            }
            pauseUpTo(m_random, m_isStream ? 15 : 2);
        }
        return true;
    }
    void sendEndless(const std::vector<std::string> &pieces)
    {
        const std::size_t where = m_random.below(3);
        const std::string endlessHead = pieces[0].substr(0, pieces[0].size() - 2) + "Padding: ";
        m_framing = Framing::Chunks;
        const std::string chunkedHead = headFor(m_id, 0);
        send(where == 0 ? endlessHead : where == 1 ? chunkedHead : chunkedHead + "fffffff\r\n");
        const std::string bytes(64 << 10, where == 1 ? '0' : 'a');
        for (std::size_t sent = 0; sent < EndlessBytes && send(bytes); sent += bytes.size()) {
        }
    }
    void waitForPeer()
    {
        while (receive()) {
            m_input.clear();
        }
    }
    void close()
    {
        if (m_socket >= 0) {
            ::close(std::exchange(m_socket, -1));
        }
    }
    void reset()
    {
        const linger discard{.l_onoff = 1, .l_linger = 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        close();
    }
    /// The pause may last long on a busy machine, and the process may be killed in it: then nothing shows that the end was not the answer's own. A cut stream
    /// shows it by itself, since it ends within an event.
    void endThenReset(bool isLogged)
    {
        const auto begin = std::chrono::steady_clock::now();
        shutdown(m_socket, SHUT_WR);
        if (isLogged) {
            log("fin " + m_id + " " + m_options.name);
        }
        pauseUpTo(m_random, 10);
        reset();
        if (isLogged && std::chrono::steady_clock::now() - begin < SeenResetTime) {
            log("reset " + m_id + " " + m_options.name);
        }
    }

    void answer()
    {
        const std::string otherId = m_id.substr(0, m_id.rfind('-')) + "-" + std::to_string(m_random.below(20));
        const std::string lastEvent = headerOf(m_head, "Last-Event-Id");
        const bool resumes = m_isStream && !lastEvent.empty();
        int first = resumes ? std::atoi(lastEvent.c_str()) + 1 : 1;
        if (m_fault == "resume" && resumes) {
            // Without any event, a skipped rest could not be told from a whole one.
            first = std::clamp(first + 1 - static_cast<int>(m_random.below(5)), 1, m_count);
        }
        std::vector<std::string> pieces = piecesFor(m_fault == "foreign" ? otherId : m_id, first);
        if (m_fault == "repeat" && m_isStream && m_framing != Framing::Length && pieces.size() > 3) {
            // An event before the last one, so that an event follows in both framings.
            const auto event = pieces.begin() + 1 + static_cast<std::ptrdiff_t>(m_random.below(pieces.size() - 3));
            pieces.insert(event, std::string(*event));
        }
        if (m_fault == "endless") {
            sendEndless(pieces);
            return;
        }
        const bool isCut
            = m_fault == "cut" || m_fault == "reset" || m_fault == "finreset" || m_fault == "silent" || (m_fault == "early" && m_random.below(3) > 0);
        if (isCut) {
            // At least the head and at most all but the last piece, and then a part of the next one.
            const std::size_t count = 1 + m_random.below(pieces.size() - 1);
            if (!sendPieces(pieces, count) || (count < pieces.size() && !send(pieces[count].substr(0, 1 + m_random.below(pieces[count].size() - 2))))) {
                return;
            }
        } else if (!sendPieces(pieces, pieces.size())) {
            return;
        }
        if (!isCut) {
            log("whole " + m_id);
        }
        end(otherId, first, isCut);
    }
    void end(const std::string &otherId, int first, bool isCut)
    {
        if (m_fault == "stutter" || m_fault == "alien") {
            pauseUpTo(m_random, 20);
            const std::vector<std::string> second = piecesFor(m_fault == "alien" ? otherId : m_id, first);
            sendPieces(second, second.size());
        } else if (m_fault == "silent") {
            waitForPeer();
        } else if (m_fault == "finreset" || (m_fault == "early" && m_random.below(2) == 0)) {
            pauseUpTo(m_random, 5);
            endThenReset(isCut && !m_isStream);
        } else if (m_fault == "reset" || m_fault == "early") {
            pauseUpTo(m_random, 5);
            reset();
        }
    }

    const Options &m_options;
    Randomness &m_random;
    /// -1 when it is closed.
    int m_socket;
    std::string m_input;
    std::string m_head;
    std::string m_id;
    std::size_t m_bodyBytes = 0;
    bool m_isStream = false;
    int m_count = 0;
    std::string m_fault = "none";
    Framing m_framing = Framing::Length;
};

}

int main(int argc, char **argv)
{
    if (argc != 8) {
        std::fputs("usage: faultyupstream HOST PORT NAME SEED PERMILLE LOG FAULT[,FAULT...]\n", stderr);
        return 2;
    }
    Options options{.host = argv[1],
                    .port = static_cast<std::uint16_t>(std::atoi(argv[2])),
                    .name = argv[3],
                    .permille = static_cast<unsigned>(std::atoi(argv[5])),
                    .log = open(argv[6], O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600),
                    .faults = {}};
    std::istringstream list(argv[7]);
    for (std::string fault; std::getline(list, fault, ',');) {
        options.faults.push_back(fault);
    }
    options.allowsUnframed = std::erase(options.faults, "unframed") > 0;
    Randomness random(std::strtoull(argv[4], nullptr, 10));
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(options.port), .sin_addr = {}, .sin_zero = {}};
    inet_pton(AF_INET, options.host.c_str(), &address.sin_addr);
    if (options.log < 0 || bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(listener, 128) != 0) {
        std::perror("faultyupstream");
        return 1;
    }
    while (true) {
        const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const timeval timeout{.tv_sec = SendTimeoutS, .tv_usec = 0};
        setsockopt(accepted, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
        std::thread([&options, &random, accepted] { Run(options, random, accepted).serve(); }).detach();
    }
}

#include "soak/calmsystem.h"
#include "soak/pipeliningcaller.h"
#include "support/soaksocket.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <numeric>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr int RouteCallers = 12;
constexpr int ControlCallers = 6;
constexpr int MutatingCallers = 8;
/// Violations of each kind that are printed.
constexpr int PrintedExamples = 3;

std::string setting(const char *name, const std::string &fallback)
{
    const char *text = std::getenv(name);
    return text ? text : fallback;
}

/// Sends pipelined reads of the configuration, cut at random places, to a control VM.
void pipelineReads(const CalmSystem &system, std::mt19937_64 &random, SoakRecord &record, std::atomic<int> &answered)
{
    const std::string read = "GET /api/config HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::size_t count = 2 + random() % 5;
    std::string bytes;
    for (std::size_t number = 0; number < count; ++number) {
        bytes += read;
    }
    int socket = connectTo(system.controlAddress(random()));
    if (socket < 0) {
        return;
    }
    for (std::size_t at = 0; at < bytes.size();) {
        const ssize_t got = send(socket, bytes.data() + at, std::min<std::size_t>(bytes.size() - at, 1 + random() % 60), MSG_NOSIGNAL);
        if (got <= 0) {
            break;
        }
        at += static_cast<std::size_t>(got);
        if (random() % 3 == 0) {
            std::this_thread::sleep_for(std::chrono::microseconds(random() % 1000));
        }
    }
    setReceiveTimeout(socket, std::chrono::seconds(30));
    std::string received;
    std::size_t answers = 0;
    std::array<char, 16 << 10> buffer{};
    while (answers < count) {
        const ssize_t got = recv(socket, buffer.data(), buffer.size(), 0);
        if (got <= 0) {
            break;
        }
        received.append(buffer.data(), static_cast<std::size_t>(got));
        for (CallerAnswer answer = parseAnswer(received, ConnectionEnd::Open); answer.isComplete; answer = parseAnswer(received, ConnectionEnd::Open)) {
            received.erase(0, answer.bytes);
            ++answers;
        }
    }
    closeSocket(socket);
    answered += static_cast<int>(answers);
    if (answers < count) {
        const std::lock_guard lock(record.mutex);
        record.violations.push_back({"unanswered", "control", std::to_string(answers) + " of " + std::to_string(count) + " reads answered"});
    }
}

/// Returns the bytes with some of them changed, removed, doubled or cut off.
std::string mutated(std::string bytes, std::mt19937_64 &random)
{
    for (std::size_t change = random() % 6; change > 0 && !bytes.empty(); --change) {
        const std::size_t at = random() % bytes.size();
        const std::size_t length = std::min<std::size_t>(1 + random() % 16, bytes.size() - at);
        switch (random() % 6) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, length);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, length));
            break;
        case 3:
            bytes.resize(at);
            break;
        case 4:
            bytes.insert(at, random() % 2 == 0 ? "99999999999999999999" : std::string(200, '['));
            break;
        default:
            bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(1U << (random() % 8)));
        }
    }
    return bytes;
}

/// Sound messages of the protocols that a daemon speaks, to be mutated.
std::vector<std::string> messages(std::mt19937_64 &random)
{
    std::vector<std::string> all;
    for (int number = 0; number < 20; ++number) {
        all.push_back(makePipeline("m-" + std::to_string(number), random).bytes);
    }
    const std::string document = soakDocument();
    std::string publication = "PUT /api/config HTTP/1.1\r\nHost: a\r\nContent-Length: ";
    publication.append(std::to_string(document.size())).append("\r\n\r\n").append(document);
    for (int copy = 0; copy < 5; ++copy) {
        all.push_back(publication);
        all.push_back("POST /api/rollouts HTTP/1.1\r\nHost: a\r\nContent-Length: 48\r\n\r\n{\"service\":\"desk\",\"target\":\"v2\",\"durationS\":12}  ");
        all.push_back(
            "GET /api/rollouts/desk HTTP/1.1\r\nHost: a\r\n\r\nGET /api/config HTTP/1.1\r\nHost: a\r\n\r\nGET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n");
        all.push_back(std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33));
    }
    for (const auto &entry : std::filesystem::recursive_directory_iterator(CUMINDYKE_SOURCE "/tests/fuzz/corpus")) {
        if (entry.is_regular_file()) {
            all.push_back(contentOf(entry.path().string()));
        }
    }
    return all;
}

void sendDatagram(const Address &to, const std::string &bytes)
{
    int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(to.port), .sin_addr = {}, .sin_zero = {}};
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    sendto(socket, bytes.data(), std::min<std::size_t>(bytes.size(), 60'000), 0, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    closeSocket(socket);
}

void sendStream(const Address &to, const std::string &bytes, std::mt19937_64 &random)
{
    int socket = connectTo(to);
    if (socket < 0) {
        return;
    }
    const std::size_t longestPiece = 1 + random() % 2000;
    for (std::size_t at = 0; at < bytes.size();) {
        const ssize_t got = send(socket, bytes.data() + at, std::min(bytes.size() - at, longestPiece), MSG_NOSIGNAL);
        if (got <= 0) {
            break;
        }
        at += static_cast<std::size_t>(got);
        if (random() % 4 == 0) {
            std::this_thread::sleep_for(std::chrono::microseconds(random() % 2000));
        }
    }
    if (random() % 3 == 0) {
        shutdown(socket, SHUT_WR);
    }
    std::array<char, 4096> buffer{};
    setReceiveTimeout(socket, std::chrono::milliseconds(20));
    while (random() % 4 != 0 && recv(socket, buffer.data(), buffer.size(), 0) > 0) {
    }
    if (random() % 3 == 0) {
        const linger discard{.l_onoff = 1, .l_linger = 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    }
    closeSocket(socket);
}

/// Sends mutated messages to all listeners of all daemons.
int mutateAll(const CalmSystem &system, std::uint64_t seed, const std::atomic<bool> &stop)
{
    std::mt19937_64 random(seed);
    const std::vector<std::string> sound = messages(random);
    int sent = 0;
    for (; !stop; ++sent) {
        const int vm = 1 + static_cast<int>(random() % (ControlVms + EntryVms));
        const bool isControl = vm <= ControlVms;
        std::string bytes = mutated(sound[random() % sound.size()], random);
        for (std::size_t more = random() % 3; more > 0; --more) {
            bytes += mutated(sound[random() % sound.size()], random);
        }
        const std::array<std::uint16_t, 4> streams{PeerPort, LeasePort, isControl ? ControlPort : CallerPort, isControl ? ControlPort : ReadinessPort};
        if (random() % 4 == 0) {
            sendDatagram(Address{.host = system.host(vm), .port = random() % 2 == 0 ? LeasePort : PeerPort}, bytes);
        } else {
            sendStream(Address{.host = system.host(vm), .port = streams[random() % streams.size()]}, bytes, random);
        }
    }
    return sent;
}

/// Opens connections to all listeners of a daemon and sends a pipeline on each.
void crowd(const CalmSystem &system, int vm, std::vector<int> &sockets, std::mt19937_64 &random)
{
    constexpr int Connections = 60;
    const bool isControl = vm <= ControlVms;
    const std::array<std::uint16_t, 4> ports{PeerPort, LeasePort, isControl ? ControlPort : CallerPort, isControl ? ControlPort : ReadinessPort};
    for (int number = 0; number < Connections; ++number) {
        const int socket = connectTo(Address{.host = system.host(vm), .port = ports[random() % ports.size()]});
        if (socket < 0) {
            continue;
        }
        const std::string bytes = makePipeline("d-" + std::to_string(vm) + "-" + std::to_string(number), random).bytes;
        send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        sockets.push_back(socket);
    }
}

/// Plays the seeds of the environment's settings; prints a line of figures and the violations of each.
template<typename PlaySeed>
void playSeeds(const PlaySeed &playSeed)
{
    const std::uint64_t firstSeed = std::stoull(setting("CUMINDYKE_FIRST_SEED", "1"));
    const std::uint64_t seeds = std::stoull(setting("CUMINDYKE_SEEDS", "2"));
    const std::chrono::seconds length(std::stoi(setting("CUMINDYKE_SOAK_SECONDS", "6")));
    std::size_t total = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        CAPTURE(seed);
        CalmSystem system(seed);
        REQUIRE(system.isReady());
        std::vector<Violation> found = playSeed(system, seed, length);
        const std::vector<Violation> ended = system.endedProcesses();
        found.insert(found.end(), ended.begin(), ended.end());
        if (ended.empty() && !system.stillServes()) {
            found.push_back({"unserved", "all", "the system does not serve afterwards"});
        }
        std::map<std::string, int> ofKind;
        for (const Violation &violation : found) {
            if (++ofKind[violation.kind] <= PrintedExamples) {
                std::cout << "    " << violation.kind << " " << violation.id << ": " << violation.detail << "\n";
            }
        }
        std::cout << "    seed " << seed << " violations: " << (found.empty() ? "none" : "");
        for (const auto &[kind, count] : ofKind) {
            std::cout << kind << ": " << count << " ";
        }
        std::cout << std::endl;
        total += found.size();
    }
    CHECK(total == 0);
}

std::vector<Violation> playPipelines(CalmSystem &system, std::uint64_t seed, std::chrono::seconds length)
{
    std::mt19937_64 random(seed);
    SoakRecord record;
    std::atomic<bool> stop = false;
    std::atomic<int> reads = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < RouteCallers; ++number) {
        threads.emplace_back([&, callerSeed = random(), prefix = "p" + std::to_string(seed) + "-" + std::to_string(number)] {
            PipeliningCaller(system.entryAddresses(), prefix, callerSeed, true, record).run(stop);
        });
    }
    for (int number = 0; number < ControlCallers; ++number) {
        threads.emplace_back([&, callerSeed = random()] {
            std::mt19937_64 callerRandom(callerSeed);
            while (!stop) {
                pipelineReads(system, callerRandom, record, reads);
            }
        });
    }
    std::this_thread::sleep_for(length);
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    // Runs of callers that left are logged when they begin.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    const RunLog runs = system.runs();
    std::vector<Violation> found = std::move(record.violations);
    for (const auto &more : {checkRuns(record.outcomes, runs), checkAsked(record.outcomes, runs), system.unexplained(record.refusedConnections)}) {
        found.insert(found.end(), more.begin(), more.end());
    }
    const auto answered = std::ranges::count_if(record.outcomes, [](const SoakOutcome &outcome) { return outcome.answer.status == 200; });
    const auto addCount = [](int sum, const auto &entry) { return sum + entry.second; };
    const int refused = std::accumulate(record.refusedConnections.begin(), record.refusedConnections.end(), 0, addCount);
    std::cout << "seed " << seed << ": " << record.outcomes.size() << " pipelined requests, " << answered << " answered with 200, " << runs.starts.size()
              << " ran; " << refused << " connections refused; " << reads << " pipelined reads of control VMs\n";
    CHECK(answered > 0);
    return found;
}

std::vector<Violation> playMutations(CalmSystem &system, std::uint64_t seed, std::chrono::seconds length)
{
    std::mt19937_64 random(seed);
    std::atomic<bool> stop = false;
    std::atomic<int> sent = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < MutatingCallers; ++number) {
        threads.emplace_back([&, callerSeed = random()] { sent += mutateAll(system, callerSeed, stop); });
    }
    std::this_thread::sleep_for(length);
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::cout << "seed " << seed << ": " << sent << " mutated messages to all listeners\n";
    CHECK(sent > 0);
    return {};
}

}

// Guards against a process that ends because of pipelined requests, which every caller may send, and against requests that run in part, twice or although
// nobody sent them, answers that are not in order, and refusals that leave the connection open.
TEST_CASE("pipelined requests that are cut anywhere run as they were sent, and end no process")
{
    playSeeds(playPipelines);
}

// Guards against a process that ends because of what arrives at any of its addresses: callers', readiness, control, and the VMs' own.
TEST_CASE("no bytes that arrive at any listener end a process")
{
    playSeeds(playMutations);
}

// Guards against a process that ends for want of descriptors: a library that can't open one more gives up, or its error is not handled.
TEST_CASE("a full table of descriptors ends no process, and requests are served again afterwards")
{
    constexpr std::size_t UsualTable = 1000;
    CalmSystem system(1);
    REQUIRE(system.isReady());
    std::mt19937_64 random(1);
    // With a few to spare, connections are accepted and the next step of their requests fails.
    for (const std::size_t spare : {0U, 2U, 6U}) {
        CAPTURE(spare);
        std::vector<int> sockets;
        for (int vm = 1; vm <= ControlVms + EntryVms; ++vm) {
            system.limitDescriptors(vm, system.openDescriptors(vm) + spare);
            crowd(system, vm, sockets, random);
        }
        std::this_thread::sleep_for(std::chrono::seconds(2));
        REQUIRE(system.endedProcesses().empty());
        for (int vm = 1; vm <= ControlVms + EntryVms; ++vm) {
            system.limitDescriptors(vm, UsualTable);
        }
        for (int &socket : sockets) {
            closeSocket(socket);
        }
        REQUIRE(system.endedProcesses().empty());
        CHECK(system.stillServes());
    }
}

#include "proxy/entryvmtasks.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr std::uint16_t UpstreamPort = 7777;
constexpr std::uint16_t UpstreamLinkPort = 7778;
/// A link spreads the ends of the answers of one kill, so several are under way.
constexpr int CallersOverLink = 8;
/// Longer than an answer takes, so that some are whole.
constexpr int MaxKillMicroseconds = 30'000;
constexpr int MaxKillMicrosecondsOverLinks = 150'000;

/// An upstream that is killed and succeeded at the same address at once.
class KilledUpstream
{
public:
    explicit KilledUpstream(const std::string &host)
        : m_host(host)
    {
        succeed();
    }

    Address address() const
    {
        return Address{.host = m_host, .port = UpstreamPort};
    }
    /// Starts the process that listens as soon as the present one has ended.
    void prepareSuccessor()
    {
        const std::string out = m_folder.file("out" + std::to_string(++m_count));
        m_successor = std::make_unique<Process>(
            std::vector<std::string>{std::string(CUMINDYKE_BIN) + "/unframedupstream", m_host, std::to_string(UpstreamPort)}, out, m_folder.file("error"));
        REQUIRE(waitFor(out, "started"));
    }
    void end(int signal)
    {
        m_process->signal(signal);
    }
    void awaitSuccessor()
    {
        REQUIRE(waitFor(m_folder.file("out" + std::to_string(m_count)), "listening"));
        m_process = std::move(m_successor);
    }

private:
    void succeed()
    {
        prepareSuccessor();
        awaitSuccessor();
    }
    static bool waitFor(const std::string &file, const std::string &text)
    {
        const auto deadline = std::chrono::steady_clock::now() + WaitTimeout;
        while (contentOf(file).find(text) == std::string::npos) {
            if (std::chrono::steady_clock::now() > deadline) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
        return true;
    }

    const std::string m_host;
    TemporaryFolder m_folder;
    int m_count = 0;
    std::unique_ptr<Process> m_process;
    std::unique_ptr<Process> m_successor;
};

struct Tally
{
    int whole = 0;
    /// The answer was under way: a stream whose head had come, or a plain request that may have run.
    int brokenOff = 0;
    int notServed = 0;
    /// Only a part came, with a proper end.
    int looksComplete = 0;
};

int valueFromEnvironment(const char *name, int otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::atoi(text) : otherwise;
}

/// The command of a link between the VMs and the upstream, and one on which VM 0 asks VM 1 for relayed connections.
std::vector<std::string> linkCommand(const EntryVmTasks &vms, const Address &upstreamLink, const Address &upstream)
{
    const Address relayLink{.host = vms.relayAddress(1).host, .port = vms.relayAddress(0).port};
    return {std::string(CUMINDYKE_BIN) + "/linkproxy",
            std::to_string(valueFromEnvironment("CUMINDYKE_FIRST_SEED", 1)),
            toString(upstreamLink),
            toString(upstream),
            toString(relayLink),
            toString(vms.relayAddress(1))};
}

/// Ends the upstream by a signal at random moments of its answers.
Tally endDuringAnswers(Cut cut, const std::string &target, int kills, int signal, bool hasLinks = false)
{
    // As the daemon does: a request may be written to a connection of a killed process.
    std::signal(SIGPIPE, SIG_IGN);
    const TemporaryFolder folder;
    EntryVmTasks vms(2, 0, v1::STREAMING, 0, 1, hasLinks);
    KilledUpstream upstream(vms.network.host(FirstPlatformHost + 1));
    const Address linkAddress{.host = upstream.address().host, .port = UpstreamLinkPort};
    std::unique_ptr<Process> links;
    if (hasLinks) {
        links = std::make_unique<Process>(linkCommand(vms, linkAddress, upstream.address()), folder.file("links"), folder.file("links"));
        vms.platform.setSlots(CallersOverLink);
    }
    vms.platform.addUpstream("i-killed", hasLinks ? linkAddress : upstream.address());
    vms.cuts[0] = cut;
    std::string whole;
    REQUIRE(eventually([&] {
        const HttpAnswer answer = vms.request(0, "first", target);
        whole = answer.status == 200 && !answer.failure ? answer.body : "";
        return !whole.empty();
    }));
    std::mt19937 random(static_cast<std::mt19937::result_type>(valueFromEnvironment("CUMINDYKE_FIRST_SEED", 1)));
    Tally tally;
    for (int kill = 0; kill < kills; ++kill) {
        // Guards against a tally of requests that reach no upstream, and against breaking off each answer.
        REQUIRE(eventually([&] { return vms.request(0, "whole-" + std::to_string(kill), target).body == whole; }));
        upstream.prepareSuccessor();
        std::vector<HttpAnswer> answers(hasLinks ? CallersOverLink : 1);
        std::vector<std::thread> callers;
        for (std::size_t caller = 0; caller < answers.size(); ++caller) {
            const std::string id = "killed-" + std::to_string(kill) + (caller == 0 ? "" : "-" + std::to_string(caller));
            callers.emplace_back([&vms, &target, id, &answer = answers[caller]] { answer = vms.request(0, id, target); });
        }
        std::this_thread::sleep_for(std::chrono::microseconds(random() % (hasLinks ? MaxKillMicrosecondsOverLinks : MaxKillMicroseconds)));
        upstream.end(signal);
        for (std::thread &caller : callers) {
            caller.join();
        }
        upstream.awaitSuccessor();
        for (const HttpAnswer &answer : answers) {
            if (answer.status == 502 || (answer.status == 200 && answer.failure)) {
                ++tally.brokenOff;
            } else if (answer.status != 200 || answer.failure) {
                ++tally.notServed;
            } else if (answer.body == whole) {
                ++tally.whole;
            } else {
                ++tally.looksComplete;
            }
        }
    }
    return tally;
}

}

// Guards against an answer without a length or chunks that looks complete although the process that made it was killed, since a successor listens at its
// address at once. CUMINDYKE_KILLS: the kills of each kind.
TEST_CASE("an unframed answer of a killed upstream that is succeeded at once is broken off for its caller")
{
    const int kills = valueFromEnvironment("CUMINDYKE_KILLS", 60);
    for (const Cut cut : {Cut::None, Cut::Refused}) {
        for (const std::string target : {"/drafts/a", "/deposits/a"}) {
            const Tally tally = endDuringAnswers(cut, target, kills, SIGKILL);
            std::cout << (cut == Cut::None ? "direct " : "relay  ") << target << ": kills " << kills << ", whole " << tally.whole << ", broken off "
                      << tally.brokenOff << ", looks complete " << tally.looksComplete << "\n";
            CAPTURE(static_cast<int>(cut), target);
            CHECK(tally.looksComplete == 0);
            // Guards against a test that kills too early or too late.
            CHECK(tally.brokenOff > 0);
        }
    }
}

// Guards against an answer without a length or chunks that looks complete although the process that made it has ended, since the packets that end its other
// connections are lost and sent again later.
TEST_CASE("an unframed answer of an ended upstream whose other connections end later is broken off for its caller")
{
    const int kills = valueFromEnvironment("CUMINDYKE_KILLS", 12);
    for (const Cut cut : {Cut::None, Cut::Refused}) {
        for (const std::string target : {"/drafts/a", "/deposits/a"}) {
            const Tally tally = endDuringAnswers(cut, target, kills, SIGUSR1);
            CAPTURE(static_cast<int>(cut), target, tally.whole, tally.brokenOff, tally.notServed);
            CHECK(tally.looksComplete == 0);
            // Guards against a test that ends the upstream too early or too late.
            CHECK(tally.brokenOff >= kills / 4);
        }
    }
}

// Guards against the same over links that delay each connection for itself, also between the VMs: the ends of the answer's and of the other connection of a
// killed process arrive apart, in any order, and long after the kill.
TEST_CASE("an unframed answer of a killed upstream is broken off for its caller over links that delay ends")
{
    const int kills = valueFromEnvironment("CUMINDYKE_KILLS", 3);
    for (const Cut cut : {Cut::None, Cut::Refused}) {
        for (const std::string target : {"/drafts/a", "/deposits/a"}) {
            const Tally tally = endDuringAnswers(cut, target, kills, SIGKILL, true);
            std::cout << (cut == Cut::None ? "direct " : "relay  ") << target << " over links: kills " << kills << ", whole " << tally.whole << ", broken off "
                      << tally.brokenOff << ", looks complete " << tally.looksComplete << "\n";
            CAPTURE(static_cast<int>(cut), target);
            CHECK(tally.looksComplete == 0);
            // Guards against a test that kills too early or too late.
            CHECK(tally.brokenOff > 0);
        }
    }
}

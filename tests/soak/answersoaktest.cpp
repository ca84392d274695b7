#include "fakeplatform/platformsystem.h"
#include "soak/pipeliningcaller.h"
#include "soak/soakcaller.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr int Upstreams = 6;
constexpr int Callers = 20;
constexpr int PipeliningCallers = 4;
constexpr int SlotsPerUpstream = 8;
constexpr std::uint16_t UpstreamPort = 9000;
/// Where the link listens for the upstreams, the platform's list, the VMs among themselves, and the entry VMs.
constexpr std::uint16_t UpstreamLinkPort = 9001;
constexpr std::uint16_t ListLinkPort = 9002;
constexpr std::uint16_t PeerLinkPort = 7601;
constexpr std::uint16_t CallerLinkPort = 8231;
constexpr std::size_t MemoryBoundKb = 200 << 10;
/// Violations of each kind that are printed with the daemons' log lines.
constexpr int PrintedExamples = 2;
/// All faults on loopback: those of the faulty upstream, "kill" for its processes and "signal" for entry VMs. "link" puts a linkproxy between the callers, the
/// entry VMs, the upstreams and the platform's list, and between the VMs (streams only).
constexpr const char *AllFaults = "unframed,stutter,alien,cut,reset,finreset,early,status,foreign,noid,endless,silent,refuse,repeat,resume,kill,signal";

using Counts = std::map<std::string, int>;

std::string textOf(const Counts &counts)
{
    std::string text;
    for (const auto &[name, count] : counts) {
        text += (text.empty() ? "" : ", ") + name + ": " + std::to_string(count);
    }
    return text.empty() ? "none" : text;
}

/// A setting from the environment; scripts/soak-answers sets them.
std::string setting(const char *name, const std::string &fallback)
{
    const char *text = std::getenv(name);
    return text ? text : fallback;
}

/// The value of a field of a log line; empty without the field, or with an empty value.
std::string fieldOf(const std::string &line, const std::string &name)
{
    const std::string key = " " + name + "=";
    const std::size_t at = line.find(key);
    const std::string value = at == std::string::npos ? "" : line.substr(at + key.size(), line.find(' ', at + 1) - at - key.size());
    return value == "\"\"" ? "" : value;
}

/// The system, the faulty upstreams, and what happens to their processes.
class Soak
{
public:
    Soak(std::uint64_t seed, const std::string &faults)
        : m_random(seed)
        , m_seed(seed)
        , m_hasLink(("," + faults + ",").find(",link,") != std::string::npos)
        , m_system({}, 0, {"z-a"}, {}, m_hasLink ? PeerLinkPort : 0, m_hasLink ? ListLinkPort : 0)
    {
        std::istringstream list(faults);
        for (std::string fault; std::getline(list, fault, ',');) {
            m_kills = m_kills || fault == "kill";
            m_signals = m_signals || fault == "signal";
            if (fault != "kill" && fault != "signal" && fault != "link") {
                m_upstreamFaults += (m_upstreamFaults.empty() ? "" : ",") + fault;
            }
        }
        if (m_hasLink) {
            startLink();
        }
        m_system.platform.setSlots(SlotsPerUpstream);
        for (int number = 1; number <= Upstreams; ++number) {
            startUpstream(number, true);
        }
        m_isReady = m_system.publish(soakDocument()) && m_system.waitUntilReady();
    }

    bool isReady() const
    {
        return m_isReady;
    }

    /// Plays one seed for this long; returns the number of violations by kind, and by the faults and framings of the request's runs.
    Counts play(std::chrono::seconds length)
    {
        std::atomic<bool> stop = false;
        std::vector<std::unique_ptr<SoakCaller>> callers;
        std::vector<std::thread> threads;
        for (int number = 1; number <= Callers; ++number) {
            const std::vector<Address> entryVms{callerAddress(ControlVms + 1), callerAddress(ControlVms + 2)};
            callers.push_back(std::make_unique<SoakCaller>(entryVms, "s" + std::to_string(m_seed) + "-" + std::to_string(number), m_random(), m_record));
            threads.emplace_back([caller = callers.back().get(), &stop] { caller->run(stop); });
        }
        for (int number = 1; number <= PipeliningCallers; ++number) {
            threads.emplace_back([this, &stop, seed = m_random(), prefix = "s" + std::to_string(m_seed) + "-p" + std::to_string(number)] {
                const std::vector<Address> entryVms{callerAddress(ControlVms + 1), callerAddress(ControlVms + 2)};
                PipeliningCaller(entryVms, prefix, seed, false, m_record).run(stop);
            });
        }
        const auto end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            if (m_kills) {
                killUpstream();
            }
            signalEntryVms();
            measureMemory();
        }
        stop = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
        return report();
    }

private:
    std::size_t below(std::size_t bound)
    {
        return m_random() % bound;
    }
    Address upstreamAddress(int number, std::uint16_t port) const
    {
        return Address{.host = m_system.network.host(FirstPlatformHost + number), .port = port};
    }
    /// Where the callers connect to.
    Address callerAddress(int vm) const
    {
        const Address address = m_system.callerAddress(vm);
        return m_hasLink ? Address{.host = address.host, .port = CallerLinkPort} : address;
    }
    void startLink()
    {
        std::vector<std::string> command{std::string(CUMINDYKE_BIN) + "/linkproxy", std::to_string(m_random())};
        for (int number = 1; number <= Upstreams; ++number) {
            command.push_back(toString(upstreamAddress(number, UpstreamLinkPort)));
            command.push_back(toString(upstreamAddress(number, UpstreamPort)));
        }
        for (int vm = ControlVms + 1; vm <= ControlVms + EntryVms; ++vm) {
            command.push_back(toString(callerAddress(vm)));
            command.push_back(toString(m_system.callerAddress(vm)));
        }
        command.push_back(toString(m_system.listAddress()));
        command.push_back(toString(m_system.platform.address()));
        for (int vm = 1; vm <= ControlVms + EntryVms; ++vm) {
            command.push_back(m_system.network.host(vm) + ":" + std::to_string(PeerLinkPort));
            command.push_back(m_system.network.host(vm) + ":" + std::to_string(PeerPort));
        }
        m_link = std::make_unique<Process>(command, m_system.folder.file("link"), m_system.folder.file("link"));
    }
    void startUpstream(int number, bool isRenamed)
    {
        const Address address = upstreamAddress(number, UpstreamPort);
        std::string &name = m_names[number];
        if (isRenamed) {
            name = "u-" + std::to_string(number) + "-" + std::to_string(++m_renamed);
        }
        m_upstreams[number] = std::make_unique<Process>(std::vector<std::string>{std::string(CUMINDYKE_BIN) + "/faultyupstream",
                                                                                 address.host,
                                                                                 std::to_string(UpstreamPort),
                                                                                 name,
                                                                                 std::to_string(m_random()),
                                                                                 setting("CUMINDYKE_SOAK_PERMILLE", "250"),
                                                                                 m_system.folder.file("runs"),
                                                                                 m_upstreamFaults},
                                                        m_system.folder.file("upstreams"),
                                                        m_system.folder.file("upstreams"));
        m_system.platform.addUpstream(name, upstreamAddress(number, m_hasLink ? UpstreamLinkPort : UpstreamPort));
    }
    /// About seven a second, each started again at once; a third of them under new names.
    void killUpstream()
    {
        if (below(15) == 0) {
            const int number = 1 + static_cast<int>(below(Upstreams));
            m_upstreams[number]->signal(SIGKILL);
            m_upstreams[number]->wait();
            startUpstream(number, below(3) == 0);
            ++m_killCount;
        }
    }
    /// The value of a line of /proc/PID/status; 0 for a process that has ended.
    std::uint64_t statusOf(int vm, const std::string &name, int base)
    {
        const std::string status = contentOf("/proc/" + std::to_string(m_system.daemons[vm]->pid()) + "/status");
        const std::size_t line = status.find("\n" + name + ":");
        return line == std::string::npos ? 0 : std::strtoull(status.c_str() + line + name.size() + 2, nullptr, base);
    }
    /// A daemon blocks the signals that it waits for before it starts a thread. Before that, while its libraries are loaded, SIGTERM ends it at once.
    bool handlesSignals(int vm)
    {
        return statusOf(vm, "Threads", 10) > 1;
    }
    /// Each entry VM gets a signal about every second, so that one is often in its grace when the next signal comes.
    void signalEntryVms()
    {
        constexpr std::array<int, 4> Signals{SIGTERM, SIGTERM, SIGHUP, SIGKILL};
        for (int vm = ControlVms + 1; vm <= ControlVms + EntryVms; ++vm) {
            if (!m_system.daemons[vm]->running()) {
                const std::vector<Violation> crash = checkExit("vm " + std::to_string(vm), m_system.daemons[vm]->wait());
                m_crashes.insert(m_crashes.end(), crash.begin(), crash.end());
                m_system.start(vm);
            } else if (m_signals && below(100) == 0 && handlesSignals(vm)) {
                m_system.daemons[vm]->signal(Signals[below(Signals.size())]);
                ++m_signalCount;
            }
        }
    }
    void measureMemory()
    {
        for (int vm = 1; vm <= ControlVms + EntryVms; ++vm) {
            m_residentKb[vm] = std::max<std::size_t>(m_residentKb[vm], statusOf(vm, "VmRSS", 10));
        }
    }

    Counts report()
    {
        // Writes of the upstreams that were under way when the last caller left.
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        RunLog runs;
        runs.add(contentOf(m_system.folder.file("runs")));
        std::vector<Violation> found = std::move(m_record.violations);
        const auto add = [&found](const std::vector<Violation> &more) { found.insert(found.end(), more.begin(), more.end()); };
        add(checkRuns(m_record.outcomes, runs));
        add(checkAsked(m_record.outcomes, runs));
        std::size_t mostKb = 0;
        for (const auto &[vm, kb] : m_residentKb) {
            add(checkMemory("vm " + std::to_string(vm), kb, MemoryBoundKb));
            mostKb = std::max(mostKb, kb);
        }
        if (m_link && !m_link->running()) {
            add({{"crash", "link", "exit code " + std::to_string(m_link->wait())}});
        }
        add(m_crashes);
        Counts statuses;
        for (const SoakOutcome &outcome : m_record.outcomes) {
            statuses[std::to_string(outcome.answer.status) + (outcome.answer.isComplete ? "" : " broken off")] += 1;
        }
        std::cout << "seed " << m_seed << ": " << m_record.outcomes.size() << " requests, " << runs.starts.size() << " ran, " << m_killCount << " kills, "
                  << m_signalCount << " signals, " << m_record.unanswered << " unanswered, longest body " << m_record.longestBodyBytes << " bytes, memory "
                  << mostKb << " KB; " << textOf(statuses) << "\n";
        std::cout << "    seed " << m_seed << " end checks of whole unframed answers: " << textOf(endChecks(runs)) << "\n";
        std::erase_if(found, [&runs](const Violation &violation) { return isOfEndlessAnswer(violation, runs); });
        const std::size_t unseen = std::erase_if(found, [&runs](const Violation &violation) { return isOfUnresetEnd(violation, runs); });
        std::cout << "    seed " << m_seed << " plain answers cut by an end in order without a reset in time: " << runs.unresetEnds.size()
                  << ", of them taken for whole ones: " << unseen << "\n";
        return reportViolations(found, runs);
    }
    /// What the daemons took the ends of unframed answers for that one sound run had sent as a whole: all but "answered" were broken off for nothing.
    Counts endChecks(const RunLog &runs) const
    {
        Counts checks;
        for (int vm = ControlVms + 1; vm <= ControlVms + EntryVms; ++vm) {
            std::istringstream log(contentOf(m_system.folder.file("out" + std::to_string(vm))));
            for (std::string line; std::getline(log, line);) {
                const std::string id = fieldOf(line, "id");
                const std::string check = fieldOf(line, "end_check");
                if (!check.empty() && runs.whole.contains(id) && runs.faults.at(id) == "none/unframed") {
                    checks[check] += 1;
                }
            }
        }
        return checks;
    }
    Counts reportViolations(const std::vector<Violation> &found, const RunLog &runs) const
    {
        Counts ofKind;
        Counts counts;
        for (const Violation &violation : found) {
            const auto faults = runs.faults.find(violation.id);
            counts[violation.kind + " " + (faults == runs.faults.end() ? "-" : faults->second)] += 1;
            if (++ofKind[violation.kind] <= PrintedExamples) {
                std::cout << "    " << violation.kind << " " << violation.id << ": " << violation.detail << "\n" << linesOf(violation.id);
            }
        }
        std::cout << "    seed " << m_seed << " violations: " << textOf(ofKind) << std::endl;
        return counts;
    }
    /// The lines of the upstreams' and the daemons' logs that name the request.
    std::string linesOf(const std::string &id) const
    {
        std::string lines;
        for (const std::string &file : {std::string("runs"), std::string("err4"), std::string("err5"), std::string("out4"), std::string("out5")}) {
            std::istringstream text(contentOf(m_system.folder.file(file)));
            for (std::string line; std::getline(text, line);) {
                const std::size_t at = line.find(id);
                if (at != std::string::npos && (at + id.size() == line.size() || std::isdigit(static_cast<unsigned char>(line[at + id.size()])) == 0)) {
                    lines.append("        ").append(file).append(": ").append(line).append("\n");
                }
            }
        }
        return lines;
    }

    std::mt19937_64 m_random;
    const std::uint64_t m_seed;
    const bool m_hasLink;
    bool m_kills = false;
    bool m_signals = false;
    std::string m_upstreamFaults;
    System m_system;
    bool m_isReady = false;
    SoakRecord m_record;
    std::unique_ptr<Process> m_link;
    std::map<int, std::unique_ptr<Process>> m_upstreams;
    std::map<int, std::string> m_names;
    int m_renamed = 0;
    int m_killCount = 0;
    int m_signalCount = 0;
    std::vector<Violation> m_crashes;
    std::map<int, std::size_t> m_residentKb;
};

void playSeeds(const std::string &faults, const std::string &seedCount)
{
    const std::uint64_t firstSeed = std::stoull(setting("CUMINDYKE_FIRST_SEED", "1"));
    const std::uint64_t seeds = std::stoull(setting("CUMINDYKE_SEEDS", seedCount));
    const std::chrono::seconds length(std::stoi(setting("CUMINDYKE_SOAK_SECONDS", "12")));
    Counts total;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        CAPTURE(seed);
        Soak soak(seed, faults);
        REQUIRE(soak.isReady());
        for (const auto &[kind, count] : soak.play(length)) {
            total[kind] += count;
        }
    }
    std::cout << "violations of all seeds: " << textOf(total) << std::endl;
    CHECK(total.empty());
}

}

// Guards against answers that are not the caller's own, not whole or out of order although they look right, against a false "not run" and a second run,
// while upstreams answer wrongly and are killed, and entry VMs are stopped in the middle. Each seed plays other moments of the same faults.
TEST_CASE("answers are whole, the caller's own and in order while upstreams answer wrongly and processes end")
{
    playSeeds(setting("CUMINDYKE_SOAK_FAULTS", AllFaults), "3");
}

// Guards against the same where the ends of a killed process's connections arrive one by one, late and in any order, which loopback never shows: a daemon
// that took the silence of another connection for proof that the process runs passed broken-off answers on as whole ones.
TEST_CASE("answers stay whole over a link that delays, loses and resets")
{
    playSeeds(std::string(AllFaults) + ",link", "1");
}

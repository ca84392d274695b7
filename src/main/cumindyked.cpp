#include "common/log.h"
#include "common/tomlreader.h"
#include "daemon/daemon.h"

#include <cxxopts.hpp>

#include <csignal>
#include <future>
#include <iostream>
#include <pthread.h>

using namespace cumindyke;

namespace
{

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

Result<Settings> loadSettings(const cxxopts::ParseResult &options)
{
    if (!options.count("settings")) {
        return parseSettings("", "embedded defaults");
    }
    const auto file = options["settings"].as<std::string>();
    const Result<std::string> text = readFile(file);
    if (!ok(text)) {
        return errorOf(text);
    }
    return parseSettings(valueOf(text), file);
}

/// Waits for SIGTERM or SIGINT, which every thread has blocked.
int waitForSignal(const sigset_t &signals)
{
    int number = 0;
    sigwait(&signals, &number);
    return number;
}

int run(const Settings &settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    startLog();
    auto started = Daemon::start(settings);
    if (!ok(started)) {
        std::cerr << "cumindyked: " << errorOf(started).message << "\n";
        return ExitFailed;
    }
    Daemon &daemon = *valueOf(started);
    logChange(
        "daemon", "started", {{"vm", settings.vm.value}, {"http_port", std::to_string(daemon.httpPort())}, {"rpc_port", std::to_string(daemon.rpcPort())}});
    waitForSignal(signals);
    logChange("daemon", "shutdown-began");
    std::promise<void> drained;
    std::future<void> done = drained.get_future();
    daemon.drain([&drained] { drained.set_value(); });
    // A second signal does not cut requests short; a declared limit does, and says so.
    if (settings.drainLimit && done.wait_for(*settings.drainLimit) != std::future_status::ready) {
        logWarning("daemon", "drain-limit-passed", {{"limit_ms", std::to_string(settings.drainLimit->count())}});
        std::_Exit(ExitFailed);
    }
    done.wait();
    logChange("daemon", "stopped");
    return ExitOk;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("cumindyked", "Request scheduler for unlike model engines and plain services.");
    options.add_options()("settings", "TOML file; without it, one VM on loopback with embedded defaults", cxxopts::value<std::string>(), "FILE")(
        "check", "check the settings and exit: 0 when they are valid, 2 when not")("version", "print the version")("help", "print this help");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << options.help();
            return ExitOk;
        }
        if (parsed.count("version")) {
            std::cout << "cumindyked " CUMINDYKE_VERSION "\n";
            return ExitOk;
        }
        const Result<Settings> settings = loadSettings(parsed);
        if (!ok(settings)) {
            std::cerr << errorOf(settings).message << "\n";
            return ExitUsage;
        }
        if (parsed.count("check")) {
            std::cout << "settings are valid\n";
            return ExitOk;
        }
        return run(valueOf(settings));
    } catch (const cxxopts::exceptions::exception &wrong) {
        std::cerr << "cumindyked: " << wrong.what() << ": see cumindyked --help\n";
        return ExitUsage;
    }
}

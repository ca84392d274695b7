#include "common/log.h"
#include "common/tomlreader.h"
#include "daemon/daemon.h"
#include "daemon/settingswatch.h"
#include "platform/platformadapter.h"
#include "platform/wire.h"

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

/// The file that the command line names, or else the environment; empty: embedded defaults.
std::string settingsFileOf(const cxxopts::ParseResult &options)
{
    if (options.count("settings")) {
        return options["settings"].as<std::string>();
    }
    const char *named = std::getenv(platform::SettingsVariable);
    return named ? named : "";
}

Result<Settings> loadSettings(const cxxopts::ParseResult &options)
{
    const std::string file = settingsFileOf(options);
    if (file.empty()) {
        return parseSettings("", "embedded defaults");
    }
    const Result<std::string> text = readFile(file);
    if (!ok(text)) {
        return errorOf(text);
    }
    return parseSettings(valueOf(text), file);
}

/// Takes over changed settings until SIGTERM or SIGINT comes. Every thread has blocked the signals. Settings that can't be read change
/// nothing: the daemon goes on with what it has.
void waitForShutdown(const sigset_t &signals, SettingsWatch &watch, Daemon &daemon)
{
    const timespec interval{.tv_sec = SettingsWatch::PollIntervalSeconds, .tv_nsec = 0};
    while (true) {
        const int number = sigtimedwait(&signals, nullptr, &interval);
        if (number == SIGTERM || number == SIGINT) {
            return;
        }
        const std::optional<Result<Settings>> changed = watch.changed(number == SIGHUP);
        if (!changed) {
            continue;
        }
        if (!ok(*changed)) {
            logWarning("daemon", "settings-refused", {{"why", errorOf(*changed).message}});
            continue;
        }
        daemon.reload(valueOf(*changed));
        logChange("daemon", "settings-reloaded", {{"replicas", std::to_string(valueOf(*changed).replicas.size())}});
    }
}

int run(const Settings &settings, const std::string &settingsFile)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    startLog();
    auto started = Daemon::start(settings, platform::makeAdapter());
    if (!ok(started)) {
        std::cerr << "cumindyked: " << errorOf(started).message << "\n";
        return ExitFailed;
    }
    Daemon &daemon = *valueOf(started);
    logChange(
        "daemon", "started", {{"vm", settings.vm.value}, {"http_port", std::to_string(daemon.httpPort())}, {"rpc_port", std::to_string(daemon.rpcPort())}});
    SettingsWatch watch(settingsFile);
    waitForShutdown(signals, watch, daemon);
    logChange("daemon", "shutdown-began");
    std::promise<void> drained;
    std::future<void> done = drained.get_future();
    daemon.drain([&drained] { drained.set_value(); });
    // A second signal does not cut requests short; a declared limit does, and says so.
    if (settings.drainLimit && done.wait_for(*settings.drainLimit) != std::future_status::ready) {
        logWarning("daemon", "drain-limit-passed", {{"limit_ms", std::to_string(settings.drainLimit->count())}});
        stopLog();
        std::_Exit(ExitFailed);
    }
    done.wait();
    logChange("daemon", "stopped");
    stopLog();
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
        return run(valueOf(settings), settingsFileOf(parsed));
    } catch (const cxxopts::exceptions::exception &wrong) {
        std::cerr << "cumindyked: " << wrong.what() << ": see cumindyked --help\n";
        return ExitUsage;
    }
}

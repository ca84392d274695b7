#include "common/fatalerrors.h"
#include "common/log.h"
#include "common/memory.h"
#include "daemon/daemon.h"
#include "daemon/runmarker.h"
#include "daemon/settingswatch.h"
#include "daemon/startretry.h"
#include "platform/platformadapter.h"
#include "platform/wire.h"

#include <cxxopts.hpp>

#include <csignal>
#include <future>
#include <iostream>
#include <memory>
#include <optional>
#include <pthread.h>

using namespace cumindyke;

namespace
{

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// Returns the settings file named by --settings, or else by the environment variable; empty when neither names one and the embedded
/// defaults apply.
std::string findSettingsFile(const cxxopts::ParseResult &options)
{
    if (options.count("settings")) {
        return options["settings"].as<std::string>();
    }
    const char *fromEnvironment = std::getenv(platform::SettingsVariable);
    return fromEnvironment ? fromEnvironment : "";
}

timespec toTimespec(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return timespec{.tv_sec = seconds.count(), .tv_nsec = std::chrono::nanoseconds(duration - seconds).count()};
}

/// The signals that the daemon waits for.
sigset_t awaitedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/// Blocks the awaited signals in this thread and all that it starts, and ignores those whose failed write is reported by an error.
void prepareSignals()
{
    const sigset_t signals = awaitedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
}

/// Runs before the constructors of the shared libraries, which take most of the time until main(): the platform sends SIGHUP also to a process that it has just
/// started, and by default that ends it.
__attribute__((section(".preinit_array"), used)) void (*const PrepareSignalsFirst)() = &prepareSignals;

/// Waits for the duration or a signal that ends the daemon, and returns whether one came.
bool isStoppedWithin(Duration duration)
{
    sigset_t signals = awaitedSignals();
    sigdelset(&signals, SIGHUP);
    const timespec interval = toTimespec(duration);
    return sigtimedwait(&signals, nullptr, &interval) > 0;
}

Result<Settings> loadSettings(const std::string &file)
{
    return file.empty() ? parseSettings("", "embedded defaults") : readSettings(file);
}

/// Reads the settings again while they may be in the middle of being written. Returns nothing if the daemon is stopped meanwhile.
std::optional<Result<Settings>> waitForSettings(const std::string &file)
{
    if (file.empty()) {
        return loadSettings(file);
    }
    SettingsStart start(EventLoop::now());
    while (true) {
        if (auto settings = start.accept(readFile(file), file, EventLoop::now())) {
            return settings;
        }
        if (isStoppedWithin(SettingsStart::PollInterval)) {
            return {};
        }
    }
}

/// Starts the daemon, again and again as long as the reason why it can't may pass. Returns null if it is stopped meanwhile.
Result<std::unique_ptr<Daemon>> startDaemon(const Settings &settings)
{
    StartRetry retry(EventLoop::now());
    while (true) {
        auto started = Daemon::start(settings, platform::makeAdapter());
        if (ok(started) || !retry.mayRetry(errorOf(started), EventLoop::now())) {
            return started;
        }
        if (retry.isFirst()) {
            logWarning("daemon", "start-delayed", {{"why", errorOf(started).message}});
        }
        if (isStoppedWithin(StartRetry::Interval)) {
            return std::unique_ptr<Daemon>();
        }
    }
}

/// Reloads the settings whenever their file changes or SIGHUP arrives, and returns on SIGTERM or SIGINT. Unreadable or invalid settings change nothing: the
/// daemon keeps the settings in force.
void reloadUntilShutdown(SettingsWatch &settingsWatch, Daemon &daemon)
{
    const sigset_t signals = awaitedSignals();
    while (true) {
        const timespec interval = toTimespec(settingsWatch.nextLook());
        const int signalNumber = sigtimedwait(&signals, nullptr, &interval);
        if (signalNumber == SIGTERM || signalNumber == SIGINT) {
            return;
        }
        const std::optional<Result<Settings>> newSettings = settingsWatch.changed(signalNumber == SIGHUP);
        if (!newSettings) {
            continue;
        }
        if (!ok(*newSettings)) {
            logWarning("daemon", "settings-refused", {{"why", errorOf(*newSettings).message}});
            continue;
        }
        daemon.reload(valueOf(*newSettings));
        logChange("daemon", "settings-reloaded", {{"replicas", std::to_string(valueOf(*newSettings).replicas.size())}});
    }
}

/// Runs the daemon until a signal shuts it down and its requests have ended, and returns the exit code. Exits the process directly when the
/// requests outlast the drain limit.
int runDaemon(const Settings &settings, const std::string &settingsFile)
{
    boundAllocator();
    startLog();
    reportFatalErrors(fatalErrorsFile(settings));
    const RunMarker marker(settings.dataFolder);
    if (marker.isLeft()) {
        logWarning("daemon", "previous-run-ended-without-stop", {{"vm", settings.vm.value}});
    }
    auto started = startDaemon(settings);
    if (!ok(started)) {
        std::cerr << "cumindyked: " << errorOf(started).message << "\n";
        return ExitFailed;
    }
    if (!valueOf(started)) {
        logChange("daemon", "stopped-before-start");
        stopLog();
        return ExitOk;
    }
    Daemon &daemon = *valueOf(started);
    logChange("daemon",
              "started",
              {{"vm", settings.vm.value},
               {"http_port", std::to_string(daemon.httpPort())},
               {"rpc_port", std::to_string(daemon.rpcPort())},
               {"memory_limit_mb", std::to_string(memoryLimitBytes(settings) >> 20)}});
    marker.place();
    SettingsWatch settingsWatch(settingsFile);
    reloadUntilShutdown(settingsWatch, daemon);
    logChange("daemon", "shutdown-began");
    std::promise<void> drainPromise;
    std::future<void> drained = drainPromise.get_future();
    daemon.drain([&drainPromise] { drainPromise.set_value(); });
    // Only the drain limit of the settings cuts requests short, with a warning; a second signal doesn't.
    if (settings.drainLimit && drained.wait_for(*settings.drainLimit) != std::future_status::ready) {
        logWarning("daemon", "drain-limit-passed", {{"limit_ms", std::to_string(settings.drainLimit->count())}});
        stopLog();
        std::_Exit(ExitFailed);
    }
    drained.wait();
    marker.clear();
    logChange("daemon", "stopped");
    stopLog();
    return ExitOk;
}

}

int main(int argc, char **argv)
{
    prepareSignals();
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
        const std::string file = findSettingsFile(parsed);
        const bool isCheck = parsed.count("check") > 0;
        const std::optional<Result<Settings>> settings = isCheck ? loadSettings(file) : waitForSettings(file);
        if (!settings) {
            return ExitOk;
        }
        if (!ok(*settings)) {
            std::cerr << errorOf(*settings).message << "\n";
            return ExitUsage;
        }
        if (isCheck) {
            std::cout << "settings are valid\n";
            return ExitOk;
        }
        return runDaemon(valueOf(*settings), file);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "cumindyked: " << error.what() << ": see cumindyked --help\n";
        return ExitUsage;
    }
}

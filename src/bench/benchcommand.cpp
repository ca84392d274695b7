#include "bench/benchcommand.h"

#include "bench/loadrun.h"
#include "bench/movereport.h"
#include "bench/placementrig.h"
#include "bench/report.h"
#include "common/hash.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace cumindyke
{

namespace
{

constexpr int ExitFailed = 1;
constexpr int ExitWrongUsage = 2;
constexpr std::uint64_t MaxSeeds = 100'000;
/// The signature covers this fixed set with one seed each, so that scenarios added later do not change it.
constexpr std::uint64_t SignatureSeed = 1;
constexpr std::array SignaturePolicies{"baseline", "oracle", "cumindyke"};
constexpr std::array SignatureScenarios{"amman-cache-gaps",
                                        "amman-lost-engine",
                                        "amman-overload-faults",
                                        "amman-stale-load",
                                        "lagos-burst",
                                        "lagos-entry-loss",
                                        "lagos-overload-faults",
                                        "lagos-scheduler-loss",
                                        "lagos-slow-engine",
                                        "lagos-steady"};

struct Options
{
    std::string command;
    std::string target;
    std::string folder;
    /// All policies if empty.
    std::vector<std::string> policies;
    std::uint64_t firstSeed = 1;
    std::uint64_t lastSeed = 1;
    bool json = false;
    LoadOptions load;
};

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

/// Parses "A..B" or "A" into the first and the last seed.
std::optional<Error> parseSeeds(const std::string &text, Options &options)
{
    const std::size_t dots = text.find("..");
    const auto first = parseNumber(std::string_view(text).substr(0, dots));
    const auto last = dots == std::string::npos ? first : parseNumber(std::string_view(text).substr(dots + 2));
    if (!first || !last || *last < *first || *last - *first >= MaxSeeds) {
        return Error{ErrorKind::BadRequest, "--seeds " + text + ": write A..B with A not after B, at most 100000 seeds"};
    }
    options.firstSeed = *first;
    options.lastSeed = *last;
    return {};
}

cxxopts::Options makeParser()
{
    cxxopts::Options parser("cumindyke-bench", "Measures cumindyke's decisions in virtual time, and drives a running daemon.");
    parser.positional_help("list | run NAME|FILE.toml | placement NAME|FILE.toml | signature | load URL");
    // clang-format off
    parser.add_options()
        ("command", "", cxxopts::value<std::string>()->default_value(""))
        ("target", "", cxxopts::value<std::string>()->default_value(""))
        ("seeds", "Seeds A..B", cxxopts::value<std::string>()->default_value("1..1"))
        ("policy", "Only these policies, with commas between (all: every one; default: baseline,oracle,cumindyke)", cxxopts::value<std::vector<std::string>>()->default_value("baseline,oracle,cumindyke"))
        ("json", "Print one JSON object")
        ("scenarios", "Folder of the scenarios that ship", cxxopts::value<std::string>()->default_value(CUMINDYKE_SCENARIOS))
        ("requests", "load: requests at most", cxxopts::value<std::uint64_t>()->default_value("1000"))
        ("duration", "load: seconds at most", cxxopts::value<double>()->default_value("10"))
        ("concurrency", "load, closed loop: requests under way", cxxopts::value<std::uint32_t>()->default_value("16"))
        ("rate", "load, open loop: requests a second (0: closed loop)", cxxopts::value<double>()->default_value("0"))
        ("key", "load: API key", cxxopts::value<std::string>()->default_value(""))
        ("body", "load: body of each request; empty sends GET", cxxopts::value<std::string>()->default_value(
            R"({"model":"drafting","prompt":"Programme for the festival","max_tokens":16,"stream":true})"))
        ("help", "Print this");
    // clang-format on
    parser.parse_positional({"command", "target"});
    return parser;
}

int runScenario(const Options &options, std::ostream &out, std::ostream &err)
{
    if (const MoveScenario *moveScenario = findMoveScenario(options.target)) {
        out << toJson(*moveScenario, runMoves(*moveScenario, options.firstSeed, options.lastSeed)) << "\n";
        return 0;
    }
    const bool isFile = options.target.ends_with(".toml");
    const Result<Scenario> scenario = readScenario(isFile ? options.target : options.folder + "/" + options.target + ".toml");
    if (!ok(scenario)) {
        err << "cumindyke-bench: " << errorOf(scenario).message << "\n";
        return ExitFailed;
    }
    ScenarioReport report{.scenario = valueOf(scenario).name, .firstSeed = options.firstSeed, .lastSeed = options.lastSeed, .policies = {}};
    const std::vector<std::string> known = policyNames();
    for (const std::string &policy : options.policies.empty() ? known : options.policies) {
        if (std::ranges::find(known, policy) == known.end()) {
            err << "cumindyke-bench: no policy '" << policy << "': choose among";
            for (const std::string &name : known) {
                err << " " << name;
            }
            err << "\n";
            return ExitWrongUsage;
        }
        report.policies.emplace(policy, runSeeds(valueOf(scenario), policy, options.firstSeed, options.lastSeed));
    }
    options.json ? printJson(out, report) : printTable(out, report);
    return 0;
}

int runPlacementLoad(const Options &options, std::ostream &out, std::ostream &err)
{
    const bool isFile = options.target.ends_with(".toml");
    const Result<PlacementLoad> load = readPlacementLoad(isFile ? options.target : options.folder + "/placement/" + options.target + ".toml");
    if (!ok(load)) {
        err << "cumindyke-bench: " << errorOf(load).message << "\n";
        return ExitFailed;
    }
    printPlacementReport(out, valueOf(load), options.firstSeed, options.lastSeed);
    return 0;
}

int listEverything(const Options &options, std::ostream &out, std::ostream &err)
{
    const auto names = listScenarios(options.folder);
    if (!ok(names)) {
        err << "cumindyke-bench: " << errorOf(names).message << "\n";
        return ExitFailed;
    }
    for (const std::string &name : valueOf(names)) {
        const Result<Scenario> scenario = readScenario(options.folder + "/" + name + ".toml");
        out << name << "\t" << (ok(scenario) ? valueOf(scenario).description : errorOf(scenario).message) << "\n";
    }
    for (const MoveScenario &moveScenario : moveScenarios()) {
        out << moveScenario.name << "\ta version move; prints JSON\n";
    }
    return 0;
}

/// Prints a checksum over the decisions of the fixed scenarios and policies.
int printSignature(const Options &options, std::ostream &out, std::ostream &err)
{
    std::string text;
    for (const char *name : SignatureScenarios) {
        const Result<Scenario> scenario = readScenario(options.folder + "/" + name + ".toml");
        if (!ok(scenario)) {
            err << "cumindyke-bench: " << errorOf(scenario).message << "\n";
            return ExitFailed;
        }
        for (const char *policy : SignaturePolicies) {
            text += std::string(name) + " " + policy + " " + std::to_string(runOnce(valueOf(scenario), policy, SignatureSeed).signature) + "\n";
        }
    }
    out << checksum(text) << "\n";
    return 0;
}

int runLoadTest(const Options &options, std::ostream &out, std::ostream &err)
{
    const Result<LoadOptions> url = parseLoadUrl(options.target);
    if (!ok(url)) {
        err << "cumindyke-bench: " << errorOf(url).message << "\n";
        return ExitWrongUsage;
    }
    LoadOptions load = options.load;
    load.address = valueOf(url).address;
    load.path = valueOf(url).path;
    const LoadResult result = runLoad(load);
    printLoad(out, result, options.json);
    return result.totalTime.count() > 0 ? 0 : ExitFailed;
}

LoadOptions parseLoadOptions(const cxxopts::ParseResult &parsed)
{
    constexpr double MaxSeconds = 3600;
    constexpr std::uint32_t MaxConcurrency = 2000;
    LoadOptions load;
    load.requests = parsed["requests"].as<std::uint64_t>();
    load.duration = Duration(static_cast<Duration::rep>(std::clamp(parsed["duration"].as<double>(), 0.0, MaxSeconds) * 1e6));
    load.concurrency = std::clamp<std::uint32_t>(parsed["concurrency"].as<std::uint32_t>(), 1, MaxConcurrency);
    load.rate = std::max(0.0, parsed["rate"].as<double>());
    load.apiKey = parsed["key"].as<std::string>();
    load.body = parsed["body"].as<std::string>();
    return load;
}

}

int runBenchCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    cxxopts::Options parser = makeParser();
    Options options;
    try {
        const cxxopts::ParseResult parsed = parser.parse(argc, argv);
        if (parsed.count("help") > 0) {
            out << parser.help();
            return 0;
        }
        options.command = parsed["command"].as<std::string>();
        options.target = parsed["target"].as<std::string>();
        options.folder = parsed["scenarios"].as<std::string>();
        options.policies = parsed["policy"].as<std::vector<std::string>>();
        if (options.policies == std::vector<std::string>{"all"}) {
            options.policies.clear();
        }
        options.json = parsed.count("json") > 0;
        options.load = parseLoadOptions(parsed);
        if (const auto error = parseSeeds(parsed["seeds"].as<std::string>(), options)) {
            err << "cumindyke-bench: " << error->message << "\n";
            return ExitWrongUsage;
        }
    } catch (const cxxopts::exceptions::exception &exception) {
        err << "cumindyke-bench: " << exception.what() << ": see --help\n";
        return ExitWrongUsage;
    }
    if (options.command == "list") {
        return listEverything(options, out, err);
    }
    if (options.command == "run" && !options.target.empty()) {
        return runScenario(options, out, err);
    }
    if (options.command == "placement" && !options.target.empty()) {
        return runPlacementLoad(options, out, err);
    }
    if (options.command == "signature") {
        return printSignature(options, out, err);
    }
    if (options.command == "load" && !options.target.empty()) {
        return runLoadTest(options, out, err);
    }
    err << parser.help();
    return ExitWrongUsage;
}

}

#include "bench/scenario.h"

#include "common/tomlreader.h"

#include <algorithm>
#include <filesystem>

namespace cumindyke
{

namespace
{

constexpr double MaxSeconds = 3600;
constexpr double MaxRate = 100'000;
constexpr std::int64_t MaxCount = 10'000;
constexpr std::int64_t MaxTokens = 1'000'000;
constexpr double MicrosecondsPerSecond = 1e6;

Duration seconds(TomlTable &table, std::string_view key, double fallback)
{
    return Duration(static_cast<Duration::rep>(table.number(key, fallback, 0, MaxSeconds) * MicrosecondsPerSecond));
}

Duration milliseconds(TomlTable &table, std::string_view key, double fallback)
{
    return Duration(static_cast<Duration::rep>(table.number(key, fallback, 0, MaxSeconds * 1000) * 1000));
}

std::uint32_t count(TomlTable &table, std::string_view key, std::int64_t fallback, std::int64_t min)
{
    return static_cast<std::uint32_t>(table.integer(key, fallback, min, MaxTokens));
}

EngineSpeed parseSpeed(TomlTable &table)
{
    return EngineSpeed{
        .stepBase = milliseconds(table, "step_base_ms", 12),
        .stepPerSequence = Duration(table.integer("step_per_sequence_us", 250, 0, 1'000'000)),
        .prefillPerToken = Duration(table.integer("prefill_per_token_us", 40, 0, 1'000'000)),
        .prefillChunk = count(table, "prefill_chunk", 512, 1),
        .maxBatch = count(table, "batch", 32, 1),
        .cacheTokens = static_cast<std::uint64_t>(table.integer("cache_tokens", 64'000, 0, MaxTokens * 1000)),
        .reportLag = milliseconds(table, "report_lag_ms", 500),
        .cacheEventLag = milliseconds(table, "cache_event_lag_ms", 800),
        .cacheEventGapInterval = count(table, "gap_every", 50, 0),
    };
}

ScenarioUpstreams parseUpstreams(TomlTable table)
{
    ScenarioUpstreams upstreams{
        .prefix = table.requiredText("prefix"),
        .service = ServiceName{table.requiredText("service")},
        .version = VersionName{table.text("version", "v1")},
        .count = static_cast<std::uint32_t>(table.integer("count", 1, 1, MaxCount)),
        .slots = count(table, "slots", 32, 1),
        .speed = parseSpeed(table),
    };
    return upstreams;
}

std::vector<double> quantiles(TomlTable &table, std::string_view key)
{
    std::vector<double> values = table.numbers(key);
    if (values.size() < 2 || !std::ranges::is_sorted(values) || values.front() < 1) {
        table.reject(key, "write two or more ascending numbers of tokens from 1 on: the minimum, equally spaced quantiles, the maximum");
        return {1, 1};
    }
    return values;
}

ScenarioArrivals parseArrivals(TomlTable table)
{
    return ScenarioArrivals{
        .service = ServiceName{table.requiredText("service")},
        .tier = TierRank{static_cast<std::uint8_t>(table.requiredInteger("tier", 0, 15))},
        .rate = table.number("rate", 1, 0, MaxRate),
        .from = seconds(table, "from_s", 0),
        .until = seconds(table, "until_s", 0),
        .deadline = seconds(table, "deadline_s", 30),
        .prompt = quantiles(table, "prompt"),
        .answer = quantiles(table, "answer"),
        .sharedPrefixRatio = table.number("shared_part", 0.5, 0, 1),
        .prefixes = count(table, "prefixes", 20, 1),
        .statedLimitRatio = table.number("says_length", 0.5, 0, 1),
        .route = table.text("route", "completions"),
    };
}

ScenarioOrganisation parseOrganisation(TomlTable table)
{
    return ScenarioOrganisation{
        .name = OrganisationName{table.requiredText("name")},
        .weight = static_cast<std::uint32_t>(table.integer("weight", 1, 1, 1000)),
        .share = table.number("share", 1, 0, MaxRate),
    };
}

ScenarioFault parseFault(TomlTable table)
{
    ScenarioFault fault{
        .kind = ScenarioFault::Kind::Slow,
        .target = table.requiredText("target"),
        .at = seconds(table, "at_s", 0),
        .until = seconds(table, "until_s", 0),
        .factor = table.number("factor", 2, 0.01, 1000),
    };
    const std::string kind = table.requiredText("kind");
    if (kind == "lost") {
        fault.kind = ScenarioFault::Kind::UpstreamFailed;
    } else if (kind == "entry-lost") {
        fault.kind = ScenarioFault::Kind::EntryVmFailed;
    } else if (kind == "scheduler-lost") {
        fault.kind = ScenarioFault::Kind::SchedulerFailed;
    } else if (kind != "slow") {
        table.reject("kind", "'" + kind + "' is not a kind of fault: write \"slow\", \"lost\", \"entry-lost\" or \"scheduler-lost\"");
    }
    return fault;
}

/// Merges a site file or a scenario file into the scenario: its values replace earlier ones, its tables are appended.
void mergeTables(Scenario &scenario, TomlTable &root)
{
    scenario.entryVms = count(root, "entry_vms", scenario.entryVms, 1);
    scenario.dataCentres = count(root, "data_centres", scenario.dataCentres, 1);
    scenario.oneWay = milliseconds(root, "one_way_ms", static_cast<double>(scenario.oneWay.count()) / 1000);
    scenario.duration = seconds(root, "duration_s", static_cast<double>(scenario.duration.count()) / MicrosecondsPerSecond);
    scenario.load = root.number("load", scenario.load, 0.001, 1000);
    for (const TomlTable &table : root.tables("upstreams")) {
        scenario.upstreams.push_back(parseUpstreams(table));
    }
    for (const TomlTable &table : root.tables("arrivals")) {
        scenario.arrivals.push_back(parseArrivals(table));
    }
    for (const TomlTable &table : root.tables("organisation")) {
        scenario.organisations.push_back(parseOrganisation(table));
    }
    for (const TomlTable &table : root.tables("fault")) {
        scenario.faults.push_back(parseFault(table));
    }
    const double reportLag = root.number("report_lag_ms", -1, -1, MaxSeconds * 1000);
    const std::int64_t cacheEventGapInterval = root.integer("gap_every", -1, -1, MaxTokens);
    for (ScenarioUpstreams &upstreams : scenario.upstreams) {
        if (reportLag >= 0) {
            upstreams.speed.reportLag = Duration(static_cast<Duration::rep>(reportLag * 1000));
        }
        if (cacheEventGapInterval >= 0) {
            upstreams.speed.cacheEventGapInterval = static_cast<std::uint32_t>(cacheEventGapInterval);
        }
    }
}

std::optional<Error> mergeFile(Scenario &scenario, const std::string &fileName)
{
    auto document = TomlDocument::read(fileName);
    if (!ok(document)) {
        return errorOf(document);
    }
    TomlTable root = valueOf(document)->root();
    scenario.description = root.text("description", scenario.description);
    const std::string site = root.text("site", "");
    if (!site.empty()) {
        const std::filesystem::path folder = std::filesystem::path(fileName).parent_path();
        if (auto error = mergeFile(scenario, (folder / "sites" / (site + ".toml")).string())) {
            return error;
        }
    }
    mergeTables(scenario, root);
    return valueOf(document)->finish();
}

}

Result<Scenario> readScenario(const std::string &fileName)
{
    Scenario scenario;
    if (const auto error = mergeFile(scenario, fileName)) {
        return *error;
    }
    scenario.name = std::filesystem::path(fileName).stem().string();
    if (scenario.upstreams.empty() || scenario.arrivals.empty()) {
        return Error{ErrorKind::Invalid, fileName + ": no [[upstreams]] or no [[arrivals]]: write them, or name a site that has them"};
    }
    if (scenario.organisations.empty()) {
        scenario.organisations.push_back(ScenarioOrganisation{.name = OrganisationName{"only"}});
    }
    return scenario;
}

Result<std::vector<std::string>> listScenarios(const std::string &folder)
{
    std::vector<std::string> names;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path().extension() == ".toml") {
            names.push_back(entry.path().stem().string());
        }
    }
    if (error) {
        return Error{ErrorKind::NotFound, folder + ": " + error.message() + ": name the folder of scenarios with --scenarios"};
    }
    std::ranges::sort(names);
    return names;
}

}

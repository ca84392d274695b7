#include "common/address.h"
#include "common/tomlreader.h"
#include "domain/declarations.h"

#include <algorithm>
#include <filesystem>
#include <set>

namespace cumindyke
{

namespace
{

constexpr std::int64_t MaxRank = 15;
constexpr std::int64_t MaxDeadlineMs = 3'600'000;
constexpr std::int64_t MaxKeepAnswersS = 7 * 86'400;
constexpr std::int64_t MaxCount = 1'000'000'000;
constexpr std::size_t Sha256HexDigits = 64;

Tier parseTier(TomlTable table)
{
    return Tier{
        .name = TierName{table.requiredText("name")},
        .rank = TierRank{static_cast<std::uint8_t>(table.requiredInteger("rank", 0, MaxRank))},
    };
}

bool isSha256(const std::string &text)
{
    return text.size() == Sha256HexDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Organisation parseOrganisation(TomlTable table)
{
    Organisation organisation{
        .name = OrganisationName{table.requiredText("name")},
        .keyHashes = {},
        .highestTier = TierName{table.requiredText("highest_tier")},
        .maxConcurrent = static_cast<std::uint32_t>(table.integer("max_concurrent", 0, 0, MaxCount)),
        .tokensPerSecond = static_cast<std::uint32_t>(table.integer("tokens_per_second", 0, 0, MaxCount)),
        .weight = static_cast<std::uint32_t>(table.integer("weight", 1, 1, 1000)),
    };
    for (const std::string &hash : table.texts("key_sha256")) {
        if (!isSha256(hash)) {
            table.reject("key_sha256", "'" + hash + "' is not a SHA-256: write 64 lower-case hexadecimal digits, as 'cumindykectl hash-key' prints them");
            continue;
        }
        organisation.keyHashes.push_back(KeyHash{hash});
    }
    return organisation;
}

Objective parseObjective(TomlTable table)
{
    return Objective{
        .tier = TierName{table.requiredText("tier")},
        .onTimeShare = table.number("on_time_share", 0.99, 0, 1),
        .firstToken = std::chrono::milliseconds(table.integer("first_token_ms", 760, 1, MaxDeadlineMs)),
        .betweenTokens = std::chrono::milliseconds(table.integer("between_tokens_ms", 41, 1, MaxDeadlineMs)),
    };
}

Service parseService(TomlTable table)
{
    Service service{
        .name = ServiceName{table.requiredText("name")},
        .kind = ServiceKind::Model,
        .version = VersionName{table.requiredText("version")},
        .defaultDeadline = std::chrono::milliseconds(table.integer("default_deadline_ms", 60'000, 1, MaxDeadlineMs)),
        .nonIdempotent = table.texts("non_idempotent"),
        .objectives = {},
        .keepAnswers = std::chrono::seconds(table.integer("keep_answers_s", 86'400, 1, MaxKeepAnswersS)),
    };
    const std::string kind = table.requiredText("kind");
    if (kind == "plain") {
        service.kind = ServiceKind::Plain;
    } else if (kind != "model") {
        table.reject("kind", "'" + kind + "' is not a kind of service: write \"model\" or \"plain\"");
    }
    for (const TomlTable &objective : table.tables("objective")) {
        service.objectives.push_back(parseObjective(objective));
    }
    return service;
}

Upstream parseUpstream(TomlTable table)
{
    Upstream upstream{
        .name = UpstreamName{table.requiredText("name")},
        .service = ServiceName{table.requiredText("service")},
        .version = VersionName{table.requiredText("version")},
        .dataCentre = DataCentreName{table.requiredText("data_centre")},
        .address = {},
        .slots = static_cast<std::uint32_t>(table.integer("slots", 1, 1, 100'000)),
        .checksFence = table.flag("checks_fence", false),
    };
    const Result<Address> address = parseAddress(table.requiredText("address"));
    if (ok(address)) {
        upstream.address = valueOf(address);
    } else {
        table.reject("address", errorOf(address).message);
    }
    return upstream;
}

/// Refuses two objects of one kind and name: the later one would silently replace the earlier one, with its keys and limits.
Result<Done> checkNames(const std::vector<Change> &changes, const std::string &source)
{
    std::set<std::string> names;
    for (const Change &change : changes) {
        const std::string name = describe(change).substr(std::string_view("put ").size());
        if (!names.insert(name).second) {
            Error error{ErrorKind::Invalid, source};
            error.message.append(": ").append(name).append(" is declared twice: remove one of the two or correct its name");
            return error;
        }
    }
    return Done{};
}

}

Result<std::vector<Change>> parseDeclarations(std::string_view toml, const std::string &fileName)
{
    auto parsed = TomlDocument::parse(toml, fileName);
    if (!ok(parsed)) {
        return errorOf(parsed);
    }
    TomlDocument &document = *valueOf(parsed);
    TomlTable root = document.root();
    std::vector<Change> changes;
    for (const TomlTable &table : root.tables("tier")) {
        changes.emplace_back(parseTier(table));
    }
    for (const TomlTable &table : root.tables("organisation")) {
        changes.emplace_back(parseOrganisation(table));
    }
    for (const TomlTable &table : root.tables("service")) {
        changes.emplace_back(parseService(table));
    }
    for (const TomlTable &table : root.tables("upstream")) {
        changes.emplace_back(parseUpstream(table));
    }
    if (const std::optional<Error> broken = document.finish()) {
        return *broken;
    }
    if (const Result<Done> checked = checkNames(changes, fileName); !ok(checked)) {
        return errorOf(checked);
    }
    return changes;
}

Result<std::vector<Change>> readDeclarations(const std::string &folder)
{
    std::error_code errorCode;
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(folder, errorCode)) {
        if (entry.path().extension() == ".toml") {
            files.push_back(entry.path().string());
        }
    }
    if (errorCode || files.empty()) {
        return Error{ErrorKind::NotFound, "'" + folder + "' contains no readable *.toml files: give the folder of the declarations"};
    }
    std::ranges::sort(files);
    std::vector<Change> allChanges;
    for (const std::string &file : files) {
        const Result<std::string> text = readFile(file);
        if (!ok(text)) {
            return errorOf(text);
        }
        const auto changes = parseDeclarations(valueOf(text), file);
        if (!ok(changes)) {
            return errorOf(changes);
        }
        allChanges.insert(allChanges.end(), valueOf(changes).begin(), valueOf(changes).end());
    }
    if (const Result<Done> checked = checkNames(allChanges, folder); !ok(checked)) {
        return errorOf(checked);
    }
    return allChanges;
}

}

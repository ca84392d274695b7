#pragma once

#include "common/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What entry VMs and the scheduler of a cell tell each other (proto/cell.proto), in the program's own types.
namespace cumindyke
{

/// "SERVICE/DATA CENTRE".
using CellName = Strong<struct CellNameTag, std::string>;

/// Requests that are alike.
struct DemandLine
{
    TierRank tier;
    VersionName version;
    OrganisationName organisation;
    TokenCount promptTokens;
    TokenCount answerTokens;
    std::uint64_t prefix = 0;
    std::uint32_t count = 0;
    Duration untilDeadline{};
    std::uint32_t key = 0;
};

/// What waits on a VM; the latest replaces the ones before.
struct Demand
{
    CellName cell;
    VmName vm;
    std::uint64_t sequence = 0;
    std::vector<DemandLine> lines;
    std::optional<TierRank> lowestWaiting;
    std::optional<TierRank> mustShed;
};

struct Grant
{
    UpstreamName upstream;
    VersionName version;
    std::uint32_t slots = 1;
    TierRank tier;
    /// From when the demand that the message answers was sent.
    Duration expires{};
    std::uint32_t key = 0;
    /// The upstream's time between tokens; zero: not measured.
    Duration perToken{};
};

struct Grants
{
    CellName cell;
    Epoch epoch;
    std::uint64_t sequence = 0;
    std::uint64_t number = 0;
    std::vector<Grant> grants;
    std::optional<TierRank> lowestWaiting;
    std::optional<TierRank> refuseFrom;
    /// Zero while nothing has been learned.
    Duration perToken{};
    std::chrono::nanoseconds perPrefillToken{};
    /// How long a VM may keep a slot whose request has ended for its next one; zero: it goes back at once.
    Duration keep{};
};

struct InFlight
{
    UpstreamName upstream;
    std::uint32_t requests = 0;
    std::uint32_t longRequests = 0;
    std::uint32_t tokens = 0;
};

/// What a VM holds of each upstream of a cell, complete each time.
struct GrantReport
{
    CellName cell;
    VmName vm;
    Epoch epoch;
    std::uint64_t sequence = 0;
    std::uint64_t grantsSeen = 0;
    std::vector<InFlight> inFlight;
    std::vector<UpstreamName> unreachable;
};

/// Prompts and answers from these lengths on count as long: they hold a slot for seconds or an engine's prefill for several steps.
constexpr std::uint32_t LongPromptTokens = 4096;
constexpr std::uint32_t LongAnswerTokens = 2048;

constexpr bool isLong(TokenCount prompt, TokenCount answer)
{
    return prompt.value >= LongPromptTokens || answer.value >= LongAnswerTokens;
}

}

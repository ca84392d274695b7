#pragma once

#include "common/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The messages between entry VMs and the scheduler of a cell (proto/cell.proto), in the program's own types.
namespace cumindyke
{

/// Name of a cell, which comprises a service's upstreams in one data centre: "SERVICE/DATA CENTRE".
using CellName = Strong<struct CellNameTag, std::string>;

/// A group of waiting requests with the same tier, version, organisation, rounded lengths and prefix.
struct DemandLine
{
    TierRank tier;
    VersionName version;
    OrganisationName organisation;
    TokenCount promptTokens;
    TokenCount answerTokens;
    std::uint64_t prefix = 0;
    /// Number of requests in the group.
    std::uint32_t count = 0;
    /// Time to the earliest deadline in the group.
    Duration untilDeadline{};
    /// Hash of the attributes, see demandKey().
    std::uint32_t key = 0;
};

/// The requests that wait on a VM for slots of a cell. A demand replaces the VM's previous one.
struct Demand
{
    CellName cell;
    VmName vm;
    std::uint64_t sequence = 0;
    std::vector<DemandLine> lines;
    /// The lowest tier with waiting requests on the VM.
    std::optional<TierRank> lowestWaiting;
    /// The highest tier from which the VM must shed requests soon.
    std::optional<TierRank> mustShed;
};

/// Slots on one upstream for requests of one demand line.
struct Grant
{
    UpstreamName upstream;
    VersionName version;
    std::uint32_t slots = 1;
    TierRank tier;
    /// Lifetime of the grant, from the time at which the demand that the message answers was sent.
    Duration lifetime{};
    /// Key of the demand line.
    std::uint32_t key = 0;
    /// The upstream's time between tokens; zero when not measured.
    Duration perToken{};
};

/// A scheduler's reply to a demand.
struct Grants
{
    CellName cell;
    Epoch epoch;
    /// Sequence number of the latest demand received from the VM.
    std::uint64_t sequence = 0;
    /// Number of this reply to the VM, counted within the epoch.
    std::uint64_t number = 0;
    std::vector<Grant> grants;
    /// The lowest tier with waiting requests on any VM.
    std::optional<TierRank> lowestWaiting;
    /// The highest tier whose requests VMs must refuse, together with all lower tiers.
    std::optional<TierRank> refuseFrom;
    /// Time between tokens on the fastest upstream; zero while no upstream's speed has been measured.
    Duration perToken{};
    std::chrono::nanoseconds perPrefillToken{};
    /// How long a VM may keep a slot whose request has ended for its next request; zero if it must return the slot at once.
    Duration keepDuration{};
};

/// A VM's slots on one upstream: those with a running request and those granted and not used yet.
struct InFlight
{
    UpstreamName upstream;
    std::uint32_t requests = 0;
    std::uint32_t longRequests = 0;
    std::uint32_t tokens = 0;
};

/// All slots of a cell that a VM holds. A report is always complete and replaces the VM's previous one.
struct GrantReport
{
    CellName cell;
    VmName vm;
    Epoch epoch;
    std::uint64_t sequence = 0;
    /// Number of the latest Grants received in the epoch.
    std::uint64_t grantsSeen = 0;
    std::vector<InFlight> inFlight;
    /// Upstreams that refused a connection recently.
    std::vector<UpstreamName> unreachable;
};

/// Prompts and answers of at least these lengths count as long: they occupy a slot for seconds or an engine's prefill for several steps.
constexpr std::uint32_t LongPromptTokens = 4096;
constexpr std::uint32_t LongAnswerTokens = 2048;

constexpr bool isLong(TokenCount prompt, TokenCount answer)
{
    return prompt.value >= LongPromptTokens || answer.value >= LongAnswerTokens;
}

}

#pragma once

#include "common/result.h"
#include "common/types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The objects that operators declare, and the rules that hold between them. The code does no I/O, except for readDeclarations().
namespace cumindyke
{

/// A priority class of requests.
struct Tier
{
    TierName name;
    /// 0 is the highest priority.
    TierRank rank;

    bool operator==(const Tier &) const = default;
};

/// An organisation whose callers send requests with its API keys.
struct Organisation
{
    OrganisationName name;
    std::vector<KeyHash> keyHashes;
    /// The highest tier that the organisation's requests may use.
    TierName highestTier;
    /// Maximum number of requests in flight over all VMs; 0 for no limit.
    std::uint32_t maxConcurrent = 0;
    /// Maximum number of tokens per second over all VMs; 0 for no limit.
    std::uint32_t tokensPerSecond = 0;
    /// Weight of the organisation's share of a tier's capacity, relative to other organisations.
    std::uint32_t weight = 1;

    bool operator==(const Organisation &) const = default;
};

/// A service-level objective for the requests of one tier.
struct Objective
{
    TierName tier;
    /// Share of requests that must get a complete answer by their deadline.
    double onTimeShare = 0.99;
    /// Objective for the time to the first token.
    std::chrono::milliseconds firstToken{760};
    /// Objective for the mean time between tokens.
    std::chrono::milliseconds betweenTokens{41};

    bool operator==(const Objective &) const = default;
};

enum class ServiceKind { Model, Plain };

struct Service
{
    ServiceName name;
    ServiceKind kind = ServiceKind::Model;
    /// The version that gets the requests when no move is in progress.
    VersionName version;
    /// Time to the deadline of requests that set none.
    std::chrono::milliseconds defaultDeadline{60'000};
    /// "METHOD /path" prefixes of the calls to a plain service that must not be repeated.
    std::vector<std::string> nonIdempotent;
    std::vector<Objective> objectives;
    /// How long the claim and the saved answer of a request with an idempotency key are kept after the request has ended.
    std::chrono::seconds keepAnswers{86'400};

    /// Returns whether a call must run at most once, and so needs an idempotency key.
    bool mustNotRepeat(std::string_view method, std::string_view path) const;
    bool operator==(const Service &) const = default;
};

struct Upstream
{
    UpstreamName name;
    ServiceName service;
    VersionName version;
    DataCentreName dataCentre;
    Address address;
    /// Maximum number of concurrent requests.
    std::uint32_t slots = 1;
    /// Whether the upstream refuses orders with an outdated fencing number.
    bool checksFence = false;

    bool operator==(const Upstream &) const = default;
};

/// The kinds of declared objects.
enum class Kind { Tier, Organisation, Service, Upstream };

const char *toString(Kind kind);

/// Removes the object of a kind and name.
struct Removal
{
    Kind kind = Kind::Tier;
    std::string name;

    bool operator==(const Removal &) const = default;
};

/// A change to the declarations: adds an object or replaces the one with its name, or removes an object.
using Change = std::variant<Tier, Organisation, Service, Upstream, Removal>;

/// Describes a change for operators, for example "put service drafting".
std::string describe(const Change &change);

/// All declarations at one revision. Immutable except by assignment: apply() returns changed declarations, and checks the rules.
class Declarations
{
public:
    const std::map<TierName, Tier> &tiers() const
    {
        return m_tiers;
    }
    const std::map<OrganisationName, Organisation> &organisations() const
    {
        return m_organisations;
    }
    const std::map<ServiceName, Service> &services() const
    {
        return m_services;
    }
    const std::map<UpstreamName, Upstream> &upstreams() const
    {
        return m_upstreams;
    }
    Revision revision() const
    {
        return m_revision;
    }

    const Tier *tier(const TierName &name) const;
    const Organisation *organisation(const OrganisationName &name) const;
    const Service *service(const ServiceName &name) const;
    const Upstream *upstream(const UpstreamName &name) const;
    /// Returns the organisation that owns the API key with this hash, or null.
    const Organisation *organisationByKey(const KeyHash &hash) const;

    /// Returns these declarations with all changes applied and the revision incremented. Error: Invalid, with the first rule that the result
    /// violates.
    Result<Declarations> apply(const std::vector<Change> &changes) const;

    /// Returns the changes that turn these declarations into the target: first the objects to put, then the removals, each by kind. Empty when
    /// the two are equal.
    std::vector<Change> changesTo(const Declarations &target) const;

    /// Restores declarations from a snapshot or a pushed configuration, without checking the rules: the content was checked when it was
    /// accepted.
    static Declarations restored(Revision revision, const std::vector<Change> &puts);

private:
    void put(const Change &change);
    /// Returns the first violated rule, or nothing.
    std::optional<Error> brokenRule() const;
    std::optional<Error> brokenTierRule() const;
    std::optional<Error> brokenOrganisationRule() const;
    std::optional<Error> brokenServiceRule() const;
    std::optional<Error> brokenUpstreamRule() const;

    Revision m_revision;
    std::map<TierName, Tier> m_tiers;
    std::map<OrganisationName, Organisation> m_organisations;
    std::map<ServiceName, Service> m_services;
    std::map<UpstreamName, Upstream> m_upstreams;
    std::map<KeyHash, OrganisationName> m_organisationsByKey;
};

/// Parses a TOML document of declarations; docs/DECLARATIONS.md describes the schema. Errors name the file, line, key and remedy.
Result<std::vector<Change>> parseDeclarations(std::string_view toml, const std::string &fileName);

/// Reads all *.toml files of a folder, in the order of their names. Errors: Invalid, NotFound.
Result<std::vector<Change>> readDeclarations(const std::string &folder);

}

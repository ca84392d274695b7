#pragma once

#include "common/result.h"
#include "common/types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// What operators declare, and the rules that hold between the parts. No I/O here.
namespace cumindyke
{

struct Tier
{
    TierName name;
    TierRank rank;

    bool operator==(const Tier &) const = default;
};

struct Organisation
{
    OrganisationName name;
    std::vector<KeyHash> keyHashes;
    TierName highestTier;
    /// Requests in flight over all VMs; 0 is no limit.
    std::uint32_t maxConcurrent = 0;
    /// Tokens a second over all VMs; 0 is no limit.
    std::uint32_t tokensPerSecond = 0;
    /// Share of a tier's capacity against other organisations.
    std::uint32_t weight = 1;

    bool operator==(const Organisation &) const = default;
};

struct Objective
{
    TierName tier;
    double onTimeShare = 0.99;
    std::chrono::milliseconds firstToken{760};
    std::chrono::milliseconds betweenTokens{41};

    bool operator==(const Objective &) const = default;
};

enum class ServiceKind { Model, Plain };

struct Service
{
    ServiceName name;
    ServiceKind kind = ServiceKind::Model;
    /// The version that gets the traffic when no move is under way.
    VersionName version;
    std::chrono::milliseconds defaultDeadline{60'000};
    /// "METHOD /path" prefixes of plain calls that must not be repeated.
    std::vector<std::string> nonIdempotent;
    std::vector<Objective> objectives;
    std::chrono::seconds keepAnswers{86'400};

    /// Whether a plain call must run at most once and so needs an idempotency key.
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
    /// The most requests it is given at once.
    std::uint32_t slots = 1;
    /// Whether it refuses an order with an old fencing number.
    bool checksFence = false;

    bool operator==(const Upstream &) const = default;
};

enum class Kind { Tier, Organisation, Service, Upstream };

const char *toString(Kind kind);

struct Removal
{
    Kind kind = Kind::Tier;
    std::string name;

    bool operator==(const Removal &) const = default;
};

/// One change: puts a thing in the place of the one with its name, or removes it.
using Change = std::variant<Tier, Organisation, Service, Upstream, Removal>;

/// "put service drafting", for people.
std::string describe(const Change &change);

/// All declarations at one revision. Reading is by const access; changes go through apply(), which keeps the rules.
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
    /// The organisation that owns an API key with this hash, or null.
    const Organisation *organisationByKey(const KeyHash &hash) const;

    /// These declarations with all changes made, one revision on; or the first rule that the result would break (Invalid).
    Result<Declarations> apply(const std::vector<Change> &changes) const;

    /// The changes that turn these declarations into the target, fewest first by kind; empty when they are equal.
    std::vector<Change> changesTo(const Declarations &target) const;

    /// For recovery from a snapshot or a push; the content was checked when it was accepted.
    static Declarations restored(Revision revision, const std::vector<Change> &puts);

private:
    void put(const Change &change);
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

/// Parses one TOML document of declarations; docs/DECLARATIONS.md has the schema. Errors name file, line, key and remedy.
Result<std::vector<Change>> parseDeclarations(std::string_view toml, const std::string &fileName);

/// Reads every *.toml file of a folder, in the order of names. Errors: Invalid, NotFound.
Result<std::vector<Change>> readDeclarations(const std::string &folder);

}

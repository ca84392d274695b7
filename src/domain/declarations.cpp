#include "domain/declarations.h"

#include <algorithm>
#include <set>

namespace cumindyke
{

namespace
{

constexpr std::size_t MaxNameLength = 100;
constexpr std::uint32_t MaxSlots = 100'000;

Error invalidError(std::string message)
{
    return Error{ErrorKind::Invalid, std::move(message)};
}

/// Returns whether a name is valid. Names appear in logs, metric labels, URLs and file names, so only characters that need no quoting in any of
/// these are allowed.
bool isValidName(const std::string &name)
{
    if (name.empty() || name.size() > MaxNameLength) {
        return false;
    }
    return std::ranges::all_of(name, [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
}

Error invalidNameError(const char *kind, const std::string &name)
{
    return invalidError(std::string(kind) + " name '" + name + "' is not valid: use 1 to 100 letters, digits, '-', '_' and '.'");
}

template<typename Key, typename Value>
const Value *findByName(const std::map<Key, Value> &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

/// Appends the objects of one kind that are new or changed in the target to puts, and those that the target lacks to removals.
template<typename Key, typename Value>
void collectChanges(Kind kind,
                    const std::map<Key, Value> &current,
                    const std::map<Key, Value> &target,
                    std::vector<Change> &puts,
                    std::vector<Change> &removals)
{
    for (const auto &[name, value] : target) {
        const Value *existing = findByName(current, name);
        if (!existing || !(*existing == value)) {
            puts.emplace_back(value);
        }
    }
    for (const auto &[name, value] : current) {
        if (!target.contains(name)) {
            removals.emplace_back(Removal{.kind = kind, .name = name.value});
        }
    }
}

struct ChangeDescriber
{
    std::string operator()(const Tier &tier) const
    {
        return "put tier " + tier.name.value;
    }
    std::string operator()(const Organisation &organisation) const
    {
        return "put organisation " + organisation.name.value;
    }
    std::string operator()(const Service &service) const
    {
        return "put service " + service.name.value;
    }
    std::string operator()(const Upstream &upstream) const
    {
        return "put upstream " + upstream.name.value;
    }
    std::string operator()(const Removal &removal) const
    {
        return std::string("remove ") + toString(removal.kind) + " " + removal.name;
    }
};

}

const char *toString(Kind kind)
{
    switch (kind) {
    case Kind::Tier:
        return "tier";
    case Kind::Organisation:
        return "organisation";
    case Kind::Service:
        return "service";
    case Kind::Upstream:
        return "upstream";
    }
    return "tier";
}

std::string describe(const Change &change)
{
    return std::visit(ChangeDescriber{}, change);
}

bool Service::mustNotRepeat(std::string_view method, std::string_view path) const
{
    const std::string methodAndPath = std::string(method) + " " + std::string(path);
    return std::ranges::any_of(nonIdempotent, [&methodAndPath](const std::string &prefix) { return methodAndPath.starts_with(prefix); });
}

const Tier *Declarations::tier(const TierName &name) const
{
    return findByName(m_tiers, name);
}

const Organisation *Declarations::organisation(const OrganisationName &name) const
{
    return findByName(m_organisations, name);
}

const Service *Declarations::service(const ServiceName &name) const
{
    return findByName(m_services, name);
}

const Upstream *Declarations::upstream(const UpstreamName &name) const
{
    return findByName(m_upstreams, name);
}

const Organisation *Declarations::organisationByKey(const KeyHash &hash) const
{
    const OrganisationName *name = findByName(m_organisationsByKey, hash);
    return name ? organisation(*name) : nullptr;
}

Result<Declarations> Declarations::apply(const std::vector<Change> &changes) const
{
    Declarations next = *this;
    for (const Change &change : changes) {
        next.put(change);
    }
    if (std::optional<Error> broken = next.brokenRule()) {
        return *broken;
    }
    next.m_organisationsByKey.clear();
    for (const auto &[name, organisation] : next.m_organisations) {
        for (const KeyHash &hash : organisation.keyHashes) {
            next.m_organisationsByKey.emplace(hash, name);
        }
    }
    ++next.m_revision.value;
    return next;
}

std::vector<Change> Declarations::changesTo(const Declarations &target) const
{
    std::vector<Change> puts;
    std::vector<Change> removals;
    collectChanges(Kind::Tier, m_tiers, target.m_tiers, puts, removals);
    collectChanges(Kind::Organisation, m_organisations, target.m_organisations, puts, removals);
    collectChanges(Kind::Service, m_services, target.m_services, puts, removals);
    collectChanges(Kind::Upstream, m_upstreams, target.m_upstreams, puts, removals);
    puts.insert(puts.end(), removals.begin(), removals.end());
    return puts;
}

Declarations Declarations::restored(Revision revision, const std::vector<Change> &puts)
{
    Declarations declarations;
    for (const Change &change : puts) {
        declarations.put(change);
    }
    for (const auto &[name, organisation] : declarations.m_organisations) {
        for (const KeyHash &hash : organisation.keyHashes) {
            declarations.m_organisationsByKey.emplace(hash, name);
        }
    }
    declarations.m_revision = revision;
    return declarations;
}

void Declarations::put(const Change &change)
{
    if (const auto *tier = std::get_if<Tier>(&change)) {
        m_tiers[tier->name] = *tier;
    } else if (const auto *organisation = std::get_if<Organisation>(&change)) {
        m_organisations[organisation->name] = *organisation;
    } else if (const auto *service = std::get_if<Service>(&change)) {
        m_services[service->name] = *service;
    } else if (const auto *upstream = std::get_if<Upstream>(&change)) {
        m_upstreams[upstream->name] = *upstream;
    } else if (const auto *removal = std::get_if<Removal>(&change)) {
        switch (removal->kind) {
        case Kind::Tier:
            m_tiers.erase(TierName{removal->name});
            break;
        case Kind::Organisation:
            m_organisations.erase(OrganisationName{removal->name});
            break;
        case Kind::Service:
            m_services.erase(ServiceName{removal->name});
            break;
        case Kind::Upstream:
            m_upstreams.erase(UpstreamName{removal->name});
            break;
        }
    }
}

std::optional<Error> Declarations::brokenRule() const
{
    if (auto broken = brokenTierRule()) {
        return broken;
    }
    if (auto broken = brokenOrganisationRule()) {
        return broken;
    }
    if (auto broken = brokenServiceRule()) {
        return broken;
    }
    return brokenUpstreamRule();
}

std::optional<Error> Declarations::brokenTierRule() const
{
    std::map<TierRank, TierName> ranks;
    for (const auto &[name, tier] : m_tiers) {
        if (!isValidName(name.value)) {
            return invalidNameError("tier", name.value);
        }
        const auto [other, isNew] = ranks.emplace(tier.rank, name);
        if (!isNew) {
            return invalidError("tiers '" + other->second.value + "' and '" + name.value + "' have the same rank " + std::to_string(tier.rank.value)
                                + ": give each tier its own rank, 0 for the highest");
        }
    }
    return {};
}

std::optional<Error> Declarations::brokenOrganisationRule() const
{
    std::map<KeyHash, OrganisationName> owners;
    for (const auto &[name, organisation] : m_organisations) {
        if (!isValidName(name.value)) {
            return invalidNameError("organisation", name.value);
        }
        if (!m_tiers.contains(organisation.highestTier)) {
            return invalidError("organisation '" + name.value + "' has the highest_tier '" + organisation.highestTier.value
                                + "', which is not declared: declare the tier or name another");
        }
        if (organisation.weight == 0) {
            return invalidError("organisation '" + name.value + "' has weight 0 and would never be served: set a weight of 1 or more");
        }
        for (const KeyHash &hash : organisation.keyHashes) {
            const auto [owner, isNew] = owners.emplace(hash, name);
            if (!isNew) {
                return invalidError("organisations '" + owner->second.value + "' and '" + name.value + "' have the same API key: give each its own");
            }
        }
    }
    return {};
}

std::optional<Error> Declarations::brokenServiceRule() const
{
    for (const auto &[name, service] : m_services) {
        if (!isValidName(name.value)) {
            return invalidNameError("service", name.value);
        }
        if (!isValidName(service.version.value)) {
            return invalidNameError("version", service.version.value);
        }
        for (const Objective &objective : service.objectives) {
            if (!m_tiers.contains(objective.tier)) {
                return invalidError("service '" + name.value + "' has an objective for tier '" + objective.tier.value
                                    + "', which is not declared: declare the tier or remove the objective");
            }
            if (!(objective.onTimeShare > 0) || !(objective.onTimeShare < 1)) {
                return invalidError("service '" + name.value + "' has an on_time_share that is not between 0 and 1: write for example 0.99");
            }
        }
    }
    return {};
}

std::optional<Error> Declarations::brokenUpstreamRule() const
{
    std::map<Address, UpstreamName> addresses;
    for (const auto &[name, upstream] : m_upstreams) {
        if (!isValidName(name.value)) {
            return invalidNameError("upstream", name.value);
        }
        if (!isValidName(upstream.version.value)) {
            return invalidNameError("version", upstream.version.value);
        }
        if (!m_services.contains(upstream.service)) {
            return invalidError("upstream '" + name.value + "' belongs to service '" + upstream.service.value
                                + "', which is not declared: declare the service first or remove the upstream");
        }
        if (upstream.slots == 0 || upstream.slots > MaxSlots) {
            return invalidError("upstream '" + name.value + "' has " + std::to_string(upstream.slots) + " slots: set 1 to " + std::to_string(MaxSlots));
        }
        const auto [other, isNew] = addresses.emplace(upstream.address, name);
        if (!isNew) {
            return invalidError("upstreams '" + other->second.value + "' and '" + name.value + "' have the same address " + toString(upstream.address)
                                + ": give each its own");
        }
    }
    return {};
}

}

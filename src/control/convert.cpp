#include "control/convert.h"

#include "common/address.h"

namespace cumindyke
{

namespace
{

void write(v1::Tier &wire, const Tier &tier)
{
    wire.set_name(tier.name.value);
    wire.set_rank(tier.rank.value);
}

void write(v1::Organisation &wire, const Organisation &organisation)
{
    wire.set_name(organisation.name.value);
    for (const KeyHash &hash : organisation.keyHashes) {
        wire.add_key_sha256(hash.value);
    }
    wire.set_highest_tier(organisation.highestTier.value);
    wire.set_max_concurrent(organisation.maxConcurrent);
    wire.set_tokens_per_second(organisation.tokensPerSecond);
    wire.set_weight(organisation.weight);
}

void write(v1::Service &wire, const Service &service)
{
    wire.set_name(service.name.value);
    wire.set_kind(service.kind == ServiceKind::Model ? v1::SERVICE_KIND_MODEL : v1::SERVICE_KIND_PLAIN);
    wire.set_version(service.version.value);
    wire.set_default_deadline_ms(static_cast<std::uint32_t>(service.defaultDeadline.count()));
    for (const std::string &call : service.nonIdempotent) {
        wire.add_non_idempotent(call);
    }
    for (const Objective &objective : service.objectives) {
        v1::Objective &added = *wire.add_objectives();
        added.set_tier(objective.tier.value);
        added.set_on_time_share(objective.onTimeShare);
        added.set_first_token_ms(static_cast<std::uint32_t>(objective.firstToken.count()));
        added.set_between_tokens_ms(static_cast<std::uint32_t>(objective.betweenTokens.count()));
    }
    wire.set_keep_answers_s(static_cast<std::uint32_t>(service.keepAnswers.count()));
}

void write(v1::Upstream &wire, const Upstream &upstream)
{
    wire.set_name(upstream.name.value);
    wire.set_service(upstream.service.value);
    wire.set_version(upstream.version.value);
    wire.set_data_centre(upstream.dataCentre.value);
    wire.set_address(toString(upstream.address));
    wire.set_slots(upstream.slots);
    wire.set_checks_fence(upstream.checksFence);
}

struct ChangeWriter
{
    v1::Change &wire;

    void operator()(const Tier &tier) const
    {
        write(*wire.mutable_tier(), tier);
    }
    void operator()(const Organisation &organisation) const
    {
        write(*wire.mutable_organisation(), organisation);
    }
    void operator()(const Service &service) const
    {
        write(*wire.mutable_service(), service);
    }
    void operator()(const Upstream &upstream) const
    {
        write(*wire.mutable_upstream(), upstream);
    }
    void operator()(const Removal &removal) const
    {
        // The values of Kind are in the same order on the wire, after "unspecified".
        wire.mutable_removal()->set_kind(static_cast<v1::Kind>(static_cast<int>(removal.kind) + 1));
        wire.mutable_removal()->set_name(removal.name);
    }
};

Tier tierFrom(const v1::Tier &wire)
{
    return Tier{.name = TierName{wire.name()}, .rank = TierRank{static_cast<std::uint8_t>(wire.rank())}};
}

Organisation organisationFrom(const v1::Organisation &wire)
{
    Organisation organisation{
        .name = OrganisationName{wire.name()},
        .keyHashes = {},
        .highestTier = TierName{wire.highest_tier()},
        .maxConcurrent = wire.max_concurrent(),
        .tokensPerSecond = wire.tokens_per_second(),
        .weight = wire.weight() ? wire.weight() : 1,
    };
    for (const std::string &hash : wire.key_sha256()) {
        organisation.keyHashes.push_back(KeyHash{hash});
    }
    return organisation;
}

Service serviceFrom(const v1::Service &wire)
{
    Service service{
        .name = ServiceName{wire.name()},
        .kind = wire.kind() == v1::SERVICE_KIND_PLAIN ? ServiceKind::Plain : ServiceKind::Model,
        .version = VersionName{wire.version()},
        .defaultDeadline = std::chrono::milliseconds(wire.default_deadline_ms()),
        .nonIdempotent = {wire.non_idempotent().begin(), wire.non_idempotent().end()},
        .objectives = {},
        .keepAnswers = std::chrono::seconds(wire.keep_answers_s()),
    };
    for (const v1::Objective &objective : wire.objectives()) {
        service.objectives.push_back(Objective{
            .tier = TierName{objective.tier()},
            .onTimeShare = objective.on_time_share(),
            .firstToken = std::chrono::milliseconds(objective.first_token_ms()),
            .betweenTokens = std::chrono::milliseconds(objective.between_tokens_ms()),
        });
    }
    return service;
}

Result<Change> upstreamFrom(const v1::Upstream &wire)
{
    const Result<Address> address = parseAddress(wire.address());
    if (!ok(address)) {
        return errorOf(address);
    }
    return Upstream{
        .name = UpstreamName{wire.name()},
        .service = ServiceName{wire.service()},
        .version = VersionName{wire.version()},
        .dataCentre = DataCentreName{wire.data_centre()},
        .address = valueOf(address),
        .slots = wire.slots(),
        .checksFence = wire.checks_fence(),
    };
}

}

v1::Change toWire(const Change &change)
{
    v1::Change wire;
    std::visit(ChangeWriter{wire}, change);
    return wire;
}

Result<Change> fromWire(const v1::Change &change)
{
    switch (change.change_case()) {
    case v1::Change::kTier:
        return tierFrom(change.tier());
    case v1::Change::kOrganisation:
        return organisationFrom(change.organisation());
    case v1::Change::kService:
        return serviceFrom(change.service());
    case v1::Change::kUpstream:
        return upstreamFrom(change.upstream());
    case v1::Change::kRemoval:
        if (change.removal().kind() < v1::KIND_TIER || change.removal().kind() > v1::KIND_UPSTREAM) {
            return Error{ErrorKind::Invalid, "a removal names no kind: set tier, organisation, service or upstream"};
        }
        return Removal{.kind = static_cast<Kind>(change.removal().kind() - 1), .name = change.removal().name()};
    case v1::Change::CHANGE_NOT_SET:
        break;
    }
    return Error{ErrorKind::Invalid, "a change is empty: set a tier, organisation, service, upstream or removal"};
}

v1::Declarations toWire(const Declarations &declarations)
{
    v1::Declarations wire;
    wire.set_revision(declarations.revision().value);
    for (const auto &[name, tier] : declarations.tiers()) {
        write(*wire.add_tiers(), tier);
    }
    for (const auto &[name, organisation] : declarations.organisations()) {
        write(*wire.add_organisations(), organisation);
    }
    for (const auto &[name, service] : declarations.services()) {
        write(*wire.add_services(), service);
    }
    for (const auto &[name, upstream] : declarations.upstreams()) {
        write(*wire.add_upstreams(), upstream);
    }
    return wire;
}

Result<Declarations> fromWire(const v1::Declarations &declarations)
{
    std::vector<Change> changes;
    for (const v1::Tier &tier : declarations.tiers()) {
        changes.emplace_back(tierFrom(tier));
    }
    for (const v1::Organisation &organisation : declarations.organisations()) {
        changes.emplace_back(organisationFrom(organisation));
    }
    for (const v1::Service &service : declarations.services()) {
        changes.emplace_back(serviceFrom(service));
    }
    for (const v1::Upstream &upstream : declarations.upstreams()) {
        const Result<Change> change = upstreamFrom(upstream);
        if (!ok(change)) {
            return errorOf(change);
        }
        changes.push_back(valueOf(change));
    }
    return Declarations::restored(Revision{declarations.revision()}, changes);
}

}

#include "cell/convert.h"

#include <algorithm>
#include <limits>

namespace cumindyke
{

namespace
{

/// Ranks are sent as rank + 1, since 0 stands for none.
std::uint32_t toWireRank(std::optional<TierRank> rank)
{
    return rank ? rank->value + 1U : 0U;
}

std::optional<TierRank> fromWireRank(std::uint32_t wireRank)
{
    return wireRank == 0 ? std::nullopt : std::optional(TierRank{static_cast<std::uint8_t>(wireRank - 1)});
}

std::uint32_t toMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

DemandLine fromProtoLine(const v1::DemandLine &line)
{
    return DemandLine{
        .tier = TierRank{static_cast<std::uint8_t>(line.tier_rank())},
        .version = VersionName{line.version()},
        .organisation = OrganisationName{line.organisation()},
        .promptTokens = TokenCount{line.prompt_tokens()},
        .answerTokens = TokenCount{line.answer_tokens()},
        .prefix = line.prefix(),
        .count = line.count(),
        .untilDeadline = std::chrono::milliseconds(line.earliest_deadline_ms()),
        .key = line.key(),
    };
}

}

v1::Demand toProto(const Demand &demand)
{
    v1::Demand message;
    message.set_cell(demand.cell.value);
    message.set_vm(demand.vm.value);
    message.set_sequence(demand.sequence);
    message.set_lowest_waiting(toWireRank(demand.lowestWaiting));
    message.set_must_shed(toWireRank(demand.mustShed));
    for (const DemandLine &line : demand.lines) {
        v1::DemandLine &added = *message.add_lines();
        added.set_tier_rank(line.tier.value);
        added.set_version(line.version.value);
        added.set_organisation(line.organisation.value);
        added.set_prompt_tokens(line.promptTokens.value);
        added.set_answer_tokens(line.answerTokens.value);
        added.set_prefix(line.prefix);
        added.set_count(line.count);
        added.set_earliest_deadline_ms(toMilliseconds(line.untilDeadline));
        added.set_key(line.key);
    }
    return message;
}

Demand fromProto(const v1::Demand &message)
{
    Demand demand{
        .cell = CellName{message.cell()},
        .vm = VmName{message.vm()},
        .sequence = message.sequence(),
        .lines = {},
        .lowestWaiting = fromWireRank(message.lowest_waiting()),
        .mustShed = fromWireRank(message.must_shed()),
    };
    for (const v1::DemandLine &line : message.lines()) {
        demand.lines.push_back(fromProtoLine(line));
    }
    return demand;
}

v1::Grants toProto(const Grants &grants)
{
    v1::Grants message;
    message.set_cell(grants.cell.value);
    message.set_epoch(grants.epoch.value);
    message.set_sequence(grants.sequence);
    message.set_number(grants.number);
    message.set_lowest_waiting(toWireRank(grants.lowestWaiting));
    message.set_refuse_from(toWireRank(grants.refuseFrom));
    message.set_keep_ms(toMilliseconds(grants.keepDuration));
    message.set_token_us(static_cast<std::uint32_t>(grants.perToken.count()));
    message.set_prefill_token_ns(static_cast<std::uint32_t>(grants.perPrefillToken.count()));
    for (const Grant &grant : grants.grants) {
        v1::Grant &added = *message.add_grants();
        added.set_upstream(grant.upstream.value);
        added.set_version(grant.version.value);
        added.set_slots(grant.slots);
        added.set_tier_rank(grant.tier.value);
        added.set_expires_ms(toMilliseconds(grant.lifetime));
        added.set_key(grant.key);
        added.set_token_us(static_cast<std::uint32_t>(grant.perToken.count()));
    }
    return message;
}

Grants fromProto(const v1::Grants &message)
{
    Grants grants{
        .cell = CellName{message.cell()},
        .epoch = Epoch{message.epoch()},
        .sequence = message.sequence(),
        .number = message.number(),
        .grants = {},
        .lowestWaiting = fromWireRank(message.lowest_waiting()),
        .refuseFrom = fromWireRank(message.refuse_from()),
        .perToken = Duration(message.token_us()),
        .perPrefillToken = std::chrono::nanoseconds(message.prefill_token_ns()),
        .keepDuration = std::chrono::milliseconds(message.keep_ms()),
    };
    for (const v1::Grant &grant : message.grants()) {
        grants.grants.push_back(Grant{
            .upstream = UpstreamName{grant.upstream()},
            .version = VersionName{grant.version()},
            .slots = grant.slots(),
            .tier = TierRank{static_cast<std::uint8_t>(grant.tier_rank())},
            .lifetime = std::chrono::milliseconds(grant.expires_ms()),
            .key = grant.key(),
            .perToken = Duration(grant.token_us()),
        });
    }
    return grants;
}

v1::GrantReport toProto(const GrantReport &report)
{
    v1::GrantReport message;
    message.set_cell(report.cell.value);
    message.set_vm(report.vm.value);
    message.set_epoch(report.epoch.value);
    message.set_sequence(report.sequence);
    message.set_grants_seen(report.grantsSeen);
    for (const InFlight &inFlight : report.inFlight) {
        v1::InFlight &added = *message.add_in_flight();
        added.set_upstream(inFlight.upstream.value);
        added.set_requests(inFlight.requests);
        added.set_long_requests(inFlight.longRequests);
        added.set_tokens(inFlight.tokens);
    }
    for (const UpstreamName &upstream : report.unreachable) {
        message.add_unreachable(upstream.value);
    }
    return message;
}

GrantReport fromProto(const v1::GrantReport &message)
{
    GrantReport report{
        .cell = CellName{message.cell()},
        .vm = VmName{message.vm()},
        .epoch = Epoch{message.epoch()},
        .sequence = message.sequence(),
        .grantsSeen = message.grants_seen(),
        .inFlight = {},
        .unreachable = {},
    };
    for (const v1::InFlight &inFlight : message.in_flight()) {
        report.inFlight.push_back(InFlight{
            .upstream = UpstreamName{inFlight.upstream()},
            .requests = inFlight.requests(),
            .longRequests = inFlight.long_requests(),
            .tokens = inFlight.tokens(),
        });
    }
    for (const std::string &upstream : message.unreachable()) {
        report.unreachable.push_back(UpstreamName{upstream});
    }
    return report;
}

}

#include "report/outcomereport.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

using Bounds = std::array<std::uint64_t, WaitBoundCount>;
using WireBounds = google::protobuf::RepeatedField<std::uint64_t>;

/// Counts never increase from one bound to the next, so that all zeros are at the end and can be omitted.
void appendBounds(const Bounds &bounds, WireBounds &wire)
{
    for (const std::uint64_t count : bounds) {
        if (count == 0) {
            return;
        }
        wire.Add(count);
    }
}

Bounds readBounds(const WireBounds &wire)
{
    Bounds bounds{};
    std::copy_n(wire.begin(), std::min<std::size_t>(bounds.size(), static_cast<std::size_t>(wire.size())), bounds.begin());
    return bounds;
}

}

v1::OutcomeReport toWire(const VmName &vm, const std::string &incarnation, std::uint64_t sequence, const OutcomeMap &counts)
{
    v1::OutcomeReport report;
    report.set_vm(vm.value);
    report.set_incarnation(incarnation);
    report.set_sequence(sequence);
    for (const auto &[key, count] : counts) {
        v1::OutcomeCounters &wire = *report.add_counters();
        wire.set_service(key.service.value);
        wire.set_version(key.version.value);
        wire.set_route(key.route);
        wire.set_tier_rank(key.tier.value);
        wire.set_length_class(key.lengthClass);
        wire.set_load_class(key.loadClass);
        wire.set_sent(count.sent);
        wire.set_on_time(count.onTime);
        wire.set_late(count.late);
        wire.set_failed(count.failed);
        wire.set_refused(count.refused);
        wire.set_unknown(count.unknown);
        appendBounds(count.firstTokenOver, *wire.mutable_first_token_over());
        appendBounds(count.betweenTokensOver, *wire.mutable_between_tokens_over());
    }
    return report;
}

OutcomeMap fromWire(const v1::OutcomeReport &report)
{
    OutcomeMap counts;
    for (const v1::OutcomeCounters &wire : report.counters()) {
        const OutcomeKey key{
            .service = ServiceName{wire.service()},
            .version = VersionName{wire.version()},
            .route = wire.route(),
            .lengthClass = static_cast<std::uint8_t>(wire.length_class()),
            .loadClass = static_cast<std::uint8_t>(std::min<std::uint32_t>(3, wire.load_class())),
            .tier = TierRank{static_cast<std::uint8_t>(wire.tier_rank())},
        };
        counts[key] = OutcomeCounts{
            .sent = wire.sent(),
            .onTime = wire.on_time(),
            .late = wire.late(),
            .failed = wire.failed(),
            .refused = wire.refused(),
            .unknown = wire.unknown(),
            .firstTokenOver = readBounds(wire.first_token_over()),
            .betweenTokensOver = readBounds(wire.between_tokens_over()),
        };
    }
    return counts;
}

}

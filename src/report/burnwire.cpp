#include "report/burnwire.h"

namespace cumindyke
{

namespace
{

std::deque<BurnBucket> fromWire(const google::protobuf::RepeatedPtrField<v1::BurnBucket> &wire)
{
    std::deque<BurnBucket> buckets;
    for (const v1::BurnBucket &bucket : wire) {
        buckets.push_back(BurnBucket{.start = WallTime{bucket.start_ms()}, .counts = cumindyke::fromWire(bucket.counts())});
    }
    return buckets;
}

}

v1::BurnBucket toWire(const BurnBucket &bucket)
{
    v1::BurnBucket wire;
    wire.set_start_ms(bucket.start.value);
    for (const auto &[serviceTier, counts] : bucket.counts) {
        v1::BurnCounts &count = *wire.add_counts();
        count.set_service(serviceTier.first.value);
        count.set_tier_rank(serviceTier.second.value);
        count.set_on_time(counts.onTime);
        count.set_late(counts.late);
        count.set_failed(counts.failed);
        count.set_refused(counts.refused);
        count.set_unknown(counts.unknown);
        count.set_sent(counts.sent);
        count.set_first_token_late(counts.firstTokenLate);
        count.set_tokens_slow(counts.tokensSlow);
    }
    return wire;
}

v1::BurnSeries toWire(const BurnSeries &series)
{
    v1::BurnSeries wire;
    for (const BurnBucket &bucket : series.minutes()) {
        *wire.add_minutes() = toWire(bucket);
    }
    for (const BurnBucket &bucket : series.hours()) {
        *wire.add_hours() = toWire(bucket);
    }
    return wire;
}

BurnCountMap fromWire(const google::protobuf::RepeatedPtrField<v1::BurnCounts> &wire)
{
    BurnCountMap counts;
    for (const v1::BurnCounts &count : wire) {
        counts[{ServiceName{count.service()}, TierRank{static_cast<std::uint8_t>(count.tier_rank())}}] += BurnCounts{
            .onTime = count.on_time(),
            .late = count.late(),
            .failed = count.failed(),
            .refused = count.refused(),
            .unknown = count.unknown(),
            .sent = count.sent(),
            .firstTokenLate = count.first_token_late(),
            .tokensSlow = count.tokens_slow(),
        };
    }
    return counts;
}

BurnSeries fromWire(const v1::BurnSeries &wire)
{
    BurnSeries series;
    series.restore(fromWire(wire.minutes()), fromWire(wire.hours()));
    return series;
}

}

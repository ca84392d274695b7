#include "control/partsuspect.h"

#include <algorithm>

namespace cumindyke::partsuspect
{

bool crashCounts(const v1::Suspect &part, const v1::PartCrash &crash, WallTime now)
{
    // Several requests may be lost with one process, and a report may arrive again after its answer was lost.
    const bool isKnown
        = crash.upstream() == part.last_upstream() || std::ranges::find(part.counted_upstreams(), crash.upstream()) != part.counted_upstreams().end();
    return part.crashes() == 0 || (!isKnown && now.value - crash.ran_ms() > part.last_counted_at_ms());
}

bool recordTraits(v1::Suspect &part, std::uint64_t upstream, const std::vector<RequestTrait> &otherTraits)
{
    const bool isFirst = part.crashes() == 0 || (part.crashes() == 1 && part.last_upstream() == upstream);
    const bool isSameUpstream = part.crashes() > 0 && part.last_upstream() == upstream;
    if (!isSameUpstream) {
        *part.mutable_with_before() = part.with();
        part.set_last_upstream(upstream);
    }
    google::protobuf::RepeatedField<std::uint64_t> common;
    for (const RequestTrait trait : otherTraits) {
        if (isFirst || std::ranges::find(part.with_before(), trait.value) != part.with_before().end()) {
            common.Add(trait.value);
        }
    }
    if (isSameUpstream && common.size() <= part.with_size()) {
        return false;
    }
    const bool isOther = common.size() != part.with_size();
    *part.mutable_with() = common;
    return isOther;
}

bool addCrash(v1::Suspect &part, std::uint64_t upstream, WallTime now)
{
    part.add_counted_upstreams(upstream);
    if (part.counted_upstreams_size() > MaxCountedUpstreams) {
        part.mutable_counted_upstreams()->erase(part.counted_upstreams().begin());
    }
    part.set_last_counted_at_ms(now.value);
    part.set_crashes(part.crashes() + 1);
    part.set_weight(part.weight() + CrashWeight);
    return part.weight() >= RefusedFromWeight;
}

bool addAnswers(v1::Suspect &part, std::uint32_t count)
{
    const std::uint32_t weight = std::min(count, MaxAnswersPerReport) * AnswerWeight;
    part.set_weight(part.weight() - std::min(weight, part.weight()));
    return part.weight() == 0;
}

void endRefusal(v1::Suspect &part)
{
    part.set_weight(RefusedFromWeight - CrashWeight);
}

}

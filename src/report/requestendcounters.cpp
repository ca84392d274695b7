#include "report/requestendcounters.h"

namespace cumindyke
{

const char *toString(RequestEnd end)
{
    switch (end) {
    case RequestEnd::OnTime:
        return "on-time";
    case RequestEnd::Late:
        return "late";
    case RequestEnd::Failed:
        return "failed";
    case RequestEnd::Refused:
        return "refused";
    case RequestEnd::Unknown:
        return "unknown";
    }
    return "unknown";
}

void RequestEndCounters::record(const ServiceName &service, const TierName &tier, RequestEnd end)
{
    v1::TierReport &counts = m_counts[{service, tier}];
    counts.set_service(service.value);
    counts.set_tier(tier.value);
    switch (end) {
    case RequestEnd::OnTime:
        counts.set_on_time(counts.on_time() + 1);
        break;
    case RequestEnd::Late:
        counts.set_late(counts.late() + 1);
        break;
    case RequestEnd::Failed:
        counts.set_failed(counts.failed() + 1);
        break;
    case RequestEnd::Refused:
        counts.set_refused(counts.refused() + 1);
        break;
    case RequestEnd::Unknown:
        counts.set_unknown(counts.unknown() + 1);
        break;
    }
}

v1::ReportReply RequestEndCounters::report() const
{
    v1::ReportReply reply;
    for (const auto &[key, counts] : m_counts) {
        *reply.add_tiers() = counts;
    }
    return reply;
}

}

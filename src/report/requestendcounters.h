#pragma once

#include "common/types.h"

#include "operator.pb.h"

#include <map>
#include <utility>

namespace cumindyke
{

/// The end of a request, as counted in reports.
enum class RequestEnd {
    OnTime, ///< a complete answer before the deadline
    Late, ///< a complete answer after the deadline
    Failed, ///< it ran without a complete answer
    Refused, ///< it did not run
    Unknown, ///< it may have run
};

const char *toString(RequestEnd end);

/// Counts ended requests by service and tier since the start of the process.
class RequestEndCounters
{
public:
    void record(const ServiceName &service, const TierName &tier, RequestEnd end);
    v1::ReportReply report() const;

private:
    std::map<std::pair<ServiceName, TierName>, v1::TierReport> m_counts;
};

}

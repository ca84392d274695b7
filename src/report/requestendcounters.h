#pragma once

#include "common/types.h"

#include "operator.pb.h"

#include <map>
#include <utility>

namespace cumindyke
{

/// How a request ended, as the report counts it.
enum class RequestEnd {
    OnTime, ///< a whole answer before the deadline
    Late, ///< a whole answer after it
    Failed, ///< it ran, and there is no whole answer
    Refused, ///< "not run"
    Unknown, ///< it may have run
};

const char *toString(RequestEnd end);

/// Counts of ended requests by service and tier, since the process started.
class RequestEndCounters
{
public:
    void record(const ServiceName &service, const TierName &tier, RequestEnd end);
    v1::ReportReply report() const;

private:
    std::map<std::pair<ServiceName, TierName>, v1::TierReport> m_counts;
};

}

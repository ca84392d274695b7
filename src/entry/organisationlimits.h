#pragma once

#include "domain/declarations.h"

#include <chrono>
#include <map>
#include <optional>

namespace cumindyke
{

struct OrganisationLimitOptions
{
    /// Number of VMs that share an organisation's declared limits, including this one.
    std::size_t vms = 1;
    std::size_t maxRequests = 20'000;
    std::size_t maxRequestsPerOrganisation = 10'000;
    std::size_t maxBytes = 256U << 20;
    std::size_t maxBytesPerOrganisation = 64U << 20;
};

/// The limit that a request exceeds, and when a retry may succeed.
struct LimitRefusal
{
    Error error;
    std::chrono::seconds retryAfter{1};
};

/// Enforces the organisations' declared limits and the VM's memory limits on the requests on this VM.
///
/// A declared limit is divided evenly between the VMs, since the load balancer spreads callers evenly. The sum over all VMs thus never
/// exceeds the limit, except that each VM allows at least one concurrent request. An organisation whose callers all use the same VM gets
/// less than its limit.
class OrganisationLimits
{
public:
    explicit OrganisationLimits(OrganisationLimitOptions options)
        : m_options(options)
    {
    }

    /// Returns the limit that one more request of the organisation would exceed, or nothing. Does not count the request.
    std::optional<LimitRefusal> findExceededLimit(const Organisation &organisation, std::size_t bytes, TokenCount work, TimePoint now);
    /// Counts a request of the organisation until release().
    void acquire(const Organisation &organisation, std::size_t bytes, TokenCount work, TimePoint now);
    void release(const OrganisationName &organisation, std::size_t bytes);

private:
    struct Usage
    {
        std::size_t requests = 0;
        std::size_t bytes = 0;
        /// Token bucket; negative after a request larger than its content.
        double tokens = 0;
        TimePoint refilledAt;
        bool isInitialised = false;
    };

    double tokenRate(const Organisation &organisation) const;
    void refill(Usage &usage, const Organisation &organisation, TimePoint now) const;

    const OrganisationLimitOptions m_options;
    std::map<OrganisationName, Usage> m_usage;
    std::size_t m_requests = 0;
    std::size_t m_bytes = 0;
};

}

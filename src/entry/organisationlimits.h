#pragma once

#include "domain/declarations.h"

#include <chrono>
#include <map>
#include <optional>

namespace cumindyke
{

struct OrganisationLimitOptions
{
    /// VMs that share an organisation's declared limits, this one too.
    std::size_t vms = 1;
    std::size_t maxHeld = 20'000;
    std::size_t maxHeldPerOrganisation = 10'000;
    std::size_t maxBytes = 256U << 20;
    std::size_t maxBytesPerOrganisation = 64U << 20;
};

/// Why a request is refused for a limit, and when a later try may pass.
struct LimitRefusal
{
    Error error;
    std::chrono::seconds retryAfter{1};
};

/// What the organisations hold on this VM, against their declared limits and the VM's memory.
///
/// A declared limit is divided evenly between the VMs, since the balancer spreads callers evenly; so it is never exceeded over all VMs
/// (but by limits smaller than the number of VMs, of which each VM allows one), and an organisation whose callers all use one VM gets
/// less than its limit.
class OrganisationLimits
{
public:
    explicit OrganisationLimits(OrganisationLimitOptions options)
        : m_options(options)
    {
    }

    /// Whether the organisation may hold one more request; nothing is taken.
    std::optional<LimitRefusal> refusal(const Organisation &organisation, std::size_t bytes, TokenCount work, TimePoint now);
    /// A request of the organisation is held from now on.
    void add(const Organisation &organisation, std::size_t bytes, TokenCount work, TimePoint now);
    void remove(const OrganisationName &organisation, std::size_t bytes);

private:
    struct Held
    {
        std::size_t requests = 0;
        std::size_t bytes = 0;
        /// Tokens that may be used now; below zero after a request larger than what there was.
        double tokens = 0;
        TimePoint filledAt;
        bool everFilled = false;
    };

    double tokenRate(const Organisation &organisation) const;
    void refill(Held &held, const Organisation &organisation, TimePoint now) const;

    const OrganisationLimitOptions m_options;
    std::map<OrganisationName, Held> m_held;
    std::size_t m_requests = 0;
    std::size_t m_bytes = 0;
};

}

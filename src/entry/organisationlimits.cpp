#include "entry/organisationlimits.h"

#include <algorithm>
#include <cmath>

namespace cumindyke
{

namespace
{

/// Size of the token bucket in seconds of its rate, so that a burst of a few seconds is not refused.
constexpr double BurstSeconds = 4;

LimitRefusal makeRefusal(const std::string &message, std::chrono::seconds retryAfter = std::chrono::seconds(1))
{
    return LimitRefusal{.error = Error{ErrorKind::Overloaded, message}, .retryAfter = retryAfter};
}

}

std::optional<LimitRefusal> OrganisationLimits::findExceededLimit(const Organisation &organisation, std::size_t bytes, TokenCount /*work*/, TimePoint now)
{
    Usage &usage = m_usage[organisation.name];
    refill(usage, organisation, now);
    if (m_requests >= m_options.maxRequests || m_bytes + bytes > m_options.maxBytes) {
        return makeRefusal("this VM has too many active requests: try again later");
    }
    if (usage.requests >= m_options.maxRequestsPerOrganisation || usage.bytes + bytes > m_options.maxBytesPerOrganisation) {
        return makeRefusal("this VM has too many active requests of your organisation: wait for answers before sending more");
    }
    const std::size_t maxConcurrent = std::max<std::size_t>(1, organisation.maxConcurrent / m_options.vms);
    if (organisation.maxConcurrent > 0 && usage.requests >= maxConcurrent) {
        return makeRefusal("your organisation has reached its limit of concurrent requests: wait for answers before sending more");
    }
    if (organisation.tokensPerSecond > 0 && usage.tokens < 0) {
        const auto wait = static_cast<std::int64_t>(std::ceil(-usage.tokens / tokenRate(organisation)));
        return makeRefusal("your organisation has reached its limit of tokens per second: send fewer or shorter requests", std::chrono::seconds(wait));
    }
    return {};
}

void OrganisationLimits::acquire(const Organisation &organisation, std::size_t bytes, TokenCount work, TimePoint now)
{
    Usage &usage = m_usage[organisation.name];
    refill(usage, organisation, now);
    ++usage.requests;
    usage.bytes += bytes;
    usage.tokens -= work.value;
    ++m_requests;
    m_bytes += bytes;
}

void OrganisationLimits::release(const OrganisationName &organisation, std::size_t bytes)
{
    const auto found = m_usage.find(organisation);
    if (found == m_usage.end() || found->second.requests == 0) {
        return;
    }
    --found->second.requests;
    found->second.bytes -= bytes;
    --m_requests;
    m_bytes -= bytes;
}

double OrganisationLimits::tokenRate(const Organisation &organisation) const
{
    return static_cast<double>(organisation.tokensPerSecond) / static_cast<double>(m_options.vms);
}

void OrganisationLimits::refill(Usage &usage, const Organisation &organisation, TimePoint now) const
{
    const double maxTokens = tokenRate(organisation) * BurstSeconds;
    const double seconds = std::chrono::duration<double>(now - usage.refilledAt).count();
    usage.tokens = usage.isInitialised ? std::min(maxTokens, usage.tokens + seconds * tokenRate(organisation)) : maxTokens;
    usage.refilledAt = now;
    usage.isInitialised = true;
}

}

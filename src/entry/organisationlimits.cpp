#include "entry/organisationlimits.h"

#include <algorithm>
#include <cmath>

namespace cumindyke
{

namespace
{

/// Unused tokens are kept for this long, so that a burst within a few seconds is not refused.
constexpr double BurstSeconds = 4;

LimitRefusal overloaded(const std::string &message, std::chrono::seconds retryAfter = std::chrono::seconds(1))
{
    return LimitRefusal{.error = Error{ErrorKind::Overloaded, message}, .retryAfter = retryAfter};
}

}

std::optional<LimitRefusal> OrganisationLimits::refusal(const Organisation &organisation, std::size_t bytes, TokenCount /*work*/, TimePoint now)
{
    Held &held = m_held[organisation.name];
    refill(held, organisation, now);
    if (m_requests >= m_options.maxHeld || m_bytes + bytes > m_options.maxBytes) {
        return overloaded("this VM holds too many requests: try again later");
    }
    if (held.requests >= m_options.maxHeldPerOrganisation || held.bytes + bytes > m_options.maxBytesPerOrganisation) {
        return overloaded("this VM holds too many requests of your organisation: wait for answers before you send more");
    }
    const std::size_t concurrent = std::max<std::size_t>(1, organisation.maxConcurrent / m_options.vms);
    if (organisation.maxConcurrent > 0 && held.requests >= concurrent) {
        return overloaded("your organisation has as many requests under way as it may: wait for answers before you send more");
    }
    if (organisation.tokensPerSecond > 0 && held.tokens < 0) {
        const auto wait = static_cast<std::int64_t>(std::ceil(-held.tokens / tokenRate(organisation)));
        return overloaded("your organisation uses as many tokens a second as it may: send fewer or shorter requests", std::chrono::seconds(wait));
    }
    return {};
}

void OrganisationLimits::add(const Organisation &organisation, std::size_t bytes, TokenCount work, TimePoint now)
{
    Held &held = m_held[organisation.name];
    refill(held, organisation, now);
    ++held.requests;
    held.bytes += bytes;
    held.tokens -= work.value;
    ++m_requests;
    m_bytes += bytes;
}

void OrganisationLimits::remove(const OrganisationName &organisation, std::size_t bytes)
{
    const auto found = m_held.find(organisation);
    if (found == m_held.end() || found->second.requests == 0) {
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

void OrganisationLimits::refill(Held &held, const Organisation &organisation, TimePoint now) const
{
    const double most = tokenRate(organisation) * BurstSeconds;
    const double seconds = std::chrono::duration<double>(now - held.filledAt).count();
    held.tokens = held.everFilled ? std::min(most, held.tokens + seconds * tokenRate(organisation)) : most;
    held.filledAt = now;
    held.everFilled = true;
}

}

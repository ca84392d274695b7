#include "policy/pendingqueue.h"

#include <algorithm>
#include <limits>

namespace cumindyke
{

namespace
{

/// Organisations whose served work differs by less than this many tokens count as even: the earliest deadline decides among them.
constexpr double EvenWork = 4000;

}

void PendingQueue::setWeights(std::map<OrganisationName, std::uint32_t> weights)
{
    m_weights = std::move(weights);
}

std::uint32_t PendingQueue::weight(const OrganisationName &organisation) const
{
    const auto found = m_weights.find(organisation);
    return found == m_weights.end() ? 1 : std::max(found->second, 1U);
}

double PendingQueue::served(const OrganisationName &organisation) const
{
    const auto found = m_served.find(organisation);
    return found == m_served.end() ? 0 : found->second;
}

void PendingQueue::add(PendingRequest request)
{
    auto &organisations = m_tiers[request.tier];
    if (!organisations.contains(request.organisation) && !organisations.empty()) {
        double least = std::numeric_limits<double>::max();
        for (const auto &[organisation, waiting] : organisations) {
            least = std::min(least, served(organisation));
        }
        double &own = m_served[request.organisation];
        own = std::max(own, least);
    }
    organisations[request.organisation].emplace(request.deadline, request.id);
    m_byDeadline.emplace(request.deadline, request.id);
    const RequestId id = request.id;
    m_requests.emplace(id, std::move(request));
}

bool PendingQueue::remove(const RequestId &id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return false;
    }
    const PendingRequest &request = found->second;
    const auto tier = m_tiers.find(request.tier);
    const auto organisation = tier->second.find(request.organisation);
    organisation->second.erase({request.deadline, id});
    if (organisation->second.empty()) {
        tier->second.erase(organisation);
    }
    if (tier->second.empty()) {
        m_tiers.erase(tier);
    }
    m_byDeadline.erase({request.deadline, id});
    m_requests.erase(found);
    return true;
}

bool PendingQueue::dequeue(const RequestId &id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return false;
    }
    const OrganisationName organisation = found->second.organisation;
    m_served[organisation] += static_cast<double>(found->second.work.value) / weight(organisation);
    return remove(id);
}

const PendingRequest *PendingQueue::first() const
{
    if (m_tiers.empty()) {
        return nullptr;
    }
    const auto &organisations = m_tiers.begin()->second;
    double least = std::numeric_limits<double>::max();
    for (const auto &[organisation, waiting] : organisations) {
        least = std::min(least, served(organisation));
    }
    const std::pair<TimePoint, RequestId> *best = nullptr;
    for (const auto &[organisation, waiting] : organisations) {
        if (served(organisation) <= least + EvenWork && (!best || *waiting.begin() < *best)) {
            best = &*waiting.begin();
        }
    }
    return &m_requests.at(best->second);
}

std::vector<const PendingRequest *> PendingQueue::inOrder(std::size_t count) const
{
    std::vector<const PendingRequest *> order;
    for (const auto &[tier, organisations] : m_tiers) {
        std::vector<std::pair<Waiting::const_iterator, Waiting::const_iterator>> cursors;
        for (const auto &[organisation, waiting] : organisations) {
            cursors.emplace_back(waiting.begin(), waiting.end());
        }
        for (bool more = true; more;) {
            more = false;
            for (auto &[at, end] : cursors) {
                if (at == end) {
                    continue;
                }
                if (order.size() >= count) {
                    return order;
                }
                order.push_back(&m_requests.at(at->second));
                ++at;
                more = true;
            }
        }
    }
    return order;
}

std::vector<PendingRequest> PendingQueue::takeExpired(TimePoint now)
{
    std::vector<PendingRequest> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now) {
        const RequestId id = m_byDeadline.begin()->second;
        expired.push_back(m_requests.at(id));
        remove(id);
    }
    return expired;
}

std::vector<PendingRequest> PendingQueue::takeFrom(TierRank highest)
{
    std::vector<PendingRequest> taken;
    for (auto tier = m_tiers.lower_bound(highest); tier != m_tiers.end(); ++tier) {
        for (const auto &[organisation, waiting] : tier->second) {
            for (const auto &[deadline, id] : waiting) {
                taken.push_back(m_requests.at(id));
            }
        }
    }
    for (const PendingRequest &request : taken) {
        remove(request.id);
    }
    return taken;
}

std::vector<const PendingRequest *> PendingQueue::dueBefore(TimePoint when) const
{
    std::vector<const PendingRequest *> due;
    for (const auto &[deadline, id] : m_byDeadline) {
        if (deadline > when) {
            break;
        }
        due.push_back(&m_requests.at(id));
    }
    return due;
}

std::optional<TierRank> PendingQueue::lowestTier() const
{
    return m_tiers.empty() ? std::nullopt : std::optional(m_tiers.rbegin()->first);
}

}

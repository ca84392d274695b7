#include "policy/pendingqueue.h"

#include <algorithm>
#include <limits>

namespace cumindyke
{

namespace
{

/// Organisations whose served work differs by at most this many tokens count as equally served: among them the earliest deadline decides.
constexpr double FairnessToleranceTokens = 4000;

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

double PendingQueue::servedWork(const OrganisationName &organisation) const
{
    const auto found = m_servedWork.find(organisation);
    return found == m_servedWork.end() ? 0 : found->second;
}

void PendingQueue::add(PendingRequest request)
{
    auto &organisations = m_tiers[request.tier];
    if (!organisations.contains(request.organisation) && !organisations.empty()) {
        double leastServed = std::numeric_limits<double>::max();
        for (const auto &[organisation, waiting] : organisations) {
            leastServed = std::min(leastServed, servedWork(organisation));
        }
        double &ownWork = m_servedWork[request.organisation];
        ownWork = std::max(ownWork, leastServed);
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
    m_servedWork[organisation] += static_cast<double>(found->second.work.value) / weight(organisation);
    return remove(id);
}

const PendingRequest *PendingQueue::first() const
{
    if (m_tiers.empty()) {
        return nullptr;
    }
    const auto &organisations = m_tiers.begin()->second;
    double leastServed = std::numeric_limits<double>::max();
    for (const auto &[organisation, waiting] : organisations) {
        leastServed = std::min(leastServed, servedWork(organisation));
    }
    const std::pair<TimePoint, RequestId> *best = nullptr;
    for (const auto &[organisation, waiting] : organisations) {
        if (servedWork(organisation) <= leastServed + FairnessToleranceTokens && (!best || *waiting.begin() < *best)) {
            best = &*waiting.begin();
        }
    }
    return &m_requests.at(best->second);
}

std::vector<const PendingRequest *> PendingQueue::inOrder(std::size_t count) const
{
    std::vector<const PendingRequest *> order;
    for (const auto &[tier, organisations] : m_tiers) {
        std::vector<std::pair<DeadlineOrder::const_iterator, DeadlineOrder::const_iterator>> iterators;
        for (const auto &[organisation, waiting] : organisations) {
            iterators.emplace_back(waiting.begin(), waiting.end());
        }
        for (bool more = true; more;) {
            more = false;
            for (auto &[at, end] : iterators) {
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

std::vector<PendingRequest> PendingQueue::removeExpired(TimePoint now)
{
    std::vector<PendingRequest> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now) {
        const RequestId id = m_byDeadline.begin()->second;
        expired.push_back(m_requests.at(id));
        remove(id);
    }
    return expired;
}

std::vector<PendingRequest> PendingQueue::removeTiersFrom(TierRank highestTier)
{
    std::vector<PendingRequest> removed;
    for (auto tier = m_tiers.lower_bound(highestTier); tier != m_tiers.end(); ++tier) {
        for (const auto &[organisation, waiting] : tier->second) {
            for (const auto &[deadline, id] : waiting) {
                removed.push_back(m_requests.at(id));
            }
        }
    }
    for (const PendingRequest &request : removed) {
        remove(request.id);
    }
    return removed;
}

std::vector<const PendingRequest *> PendingQueue::dueBy(TimePoint latest) const
{
    std::vector<const PendingRequest *> due;
    for (const auto &[deadline, id] : m_byDeadline) {
        if (deadline > latest) {
            break;
        }
        due.push_back(&m_requests.at(id));
    }
    return due;
}

std::optional<TierRank> PendingQueue::lowestPendingTier() const
{
    return m_tiers.empty() ? std::nullopt : std::optional(m_tiers.rbegin()->first);
}

}

#include "policy/pendingqueue.h"

namespace cumindyke
{

void PendingQueue::add(PendingRequest request)
{
    m_order.emplace(request.tier, request.deadline, request.id);
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
    m_order.erase(Order(found->second.tier, found->second.deadline, id));
    m_byDeadline.erase({found->second.deadline, id});
    m_requests.erase(found);
    return true;
}

const PendingRequest *PendingQueue::first() const
{
    if (m_order.empty()) {
        return nullptr;
    }
    return &m_requests.at(std::get<RequestId>(*m_order.begin()));
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

}

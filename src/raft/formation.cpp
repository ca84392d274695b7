#include "raft/formation.h"

namespace cumindyke::raft
{

Formation::Formation(VmName self, std::vector<VmName> initialVoters, std::uint64_t incarnation)
    : m_self(std::move(self))
    , m_initialVoters(std::move(initialVoters))
    , m_incarnations{{m_self.value, incarnation}}
{
    formIfComplete();
}

std::vector<v1::RaftMessage> Formation::requests() const
{
    std::vector<v1::RaftMessage> messages;
    for (const VmName &voter : m_initialVoters) {
        if (voter == m_self) {
            continue;
        }
        v1::RaftMessage message;
        message.set_kind(v1::RaftMessage::FORM);
        message.set_from(m_self.value);
        message.set_to(voter.value);
        message.set_incarnation(m_incarnations.at(m_self.value));
        messages.push_back(std::move(message));
    }
    return messages;
}

v1::RaftMessage Formation::makeReply(const v1::RaftMessage &request, const VmName &self, std::uint64_t incarnation, const v1::Membership *members)
{
    v1::RaftMessage message;
    message.set_kind(v1::RaftMessage::FORM_REPLY);
    message.set_from(self.value);
    message.set_to(request.from());
    message.set_incarnation(incarnation);
    if (members) {
        *message.mutable_snapshot_membership() = *members;
    }
    return message;
}

void Formation::handleReply(const v1::RaftMessage &message)
{
    if (m_membership) {
        return;
    }
    if (message.has_snapshot_membership()) {
        m_membership = message.snapshot_membership();
        return;
    }
    for (const VmName &voter : m_initialVoters) {
        if (voter.value == message.from()) {
            m_incarnations[voter.value] = message.incarnation();
        }
    }
    formIfComplete();
}

void Formation::formIfComplete()
{
    if (m_incarnations.size() < m_initialVoters.size()) {
        return;
    }
    m_membership.emplace();
    for (const auto &[voter, incarnation] : m_incarnations) {
        m_membership->add_voters(voter);
        (*m_membership->mutable_incarnations())[voter] = incarnation;
    }
}

bool Formation::isMember() const
{
    const auto known = m_membership->incarnations().find(m_self.value);
    return known != m_membership->incarnations().end() && known->second == m_incarnations.at(m_self.value);
}

}

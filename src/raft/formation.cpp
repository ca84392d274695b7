#include "raft/formation.h"

namespace cumindyke::raft
{

Formation::Formation(VmName self, std::vector<VmName> firstVoters, std::uint64_t incarnation)
    : m_self(std::move(self))
    , m_firstVoters(std::move(firstVoters))
    , m_heard{{m_self.value, incarnation}}
{
    formIfComplete();
}

std::vector<v1::RaftMessage> Formation::ask() const
{
    std::vector<v1::RaftMessage> messages;
    for (const VmName &voter : m_firstVoters) {
        if (voter == m_self) {
            continue;
        }
        v1::RaftMessage message;
        message.set_kind(v1::RaftMessage::FORM);
        message.set_from(m_self.value);
        message.set_to(voter.value);
        message.set_incarnation(m_heard.at(m_self.value));
        messages.push_back(std::move(message));
    }
    return messages;
}

v1::RaftMessage Formation::answer(const v1::RaftMessage &question, const VmName &self, std::uint64_t incarnation, const v1::Membership *formed)
{
    v1::RaftMessage message;
    message.set_kind(v1::RaftMessage::FORM_REPLY);
    message.set_from(self.value);
    message.set_to(question.from());
    message.set_incarnation(incarnation);
    if (formed) {
        *message.mutable_snapshot_membership() = *formed;
    }
    return message;
}

void Formation::take(const v1::RaftMessage &message)
{
    if (m_formed) {
        return;
    }
    if (message.has_snapshot_membership()) {
        m_formed = message.snapshot_membership();
        return;
    }
    for (const VmName &voter : m_firstVoters) {
        if (voter.value == message.from()) {
            m_heard[voter.value] = message.incarnation();
        }
    }
    formIfComplete();
}

void Formation::formIfComplete()
{
    if (m_heard.size() < m_firstVoters.size()) {
        return;
    }
    m_formed.emplace();
    for (const auto &[voter, incarnation] : m_heard) {
        m_formed->add_voters(voter);
        (*m_formed->mutable_incarnations())[voter] = incarnation;
    }
}

bool Formation::belongs() const
{
    const auto known = m_formed->incarnations().find(m_self.value);
    return known != m_formed->incarnations().end() && known->second == m_heard.at(m_self.value);
}

}

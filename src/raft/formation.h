#pragma once

#include "raft/types.h"

#include <map>
#include <vector>

namespace cumindyke::raft
{

/// Forms the initial cluster: each of the initial voters must have been reached once, with a new data folder.
///
/// A replica that lost its disk looks like one that starts for the first time. If it took itself for an initial voter, it could vote twice
/// in one term, and an acknowledged command could be lost. So a replica with a new folder asks the others first. A replica that belongs to
/// a cluster replies with the incarnations of the members, and a replica that isn't among them waits to be admitted as a learner.
class Formation
{
public:
    Formation(VmName self, std::vector<VmName> initialVoters, std::uint64_t incarnation);

    /// Returns a FORM request to every other initial voter.
    std::vector<v1::RaftMessage> requests() const;
    /// Returns the reply to a FORM request: with the members of this replica's cluster, or without when there is none yet ("members" is
    /// null).
    static v1::RaftMessage makeReply(const v1::RaftMessage &request, const VmName &self, std::uint64_t incarnation, const v1::Membership *members);
    void handleReply(const v1::RaftMessage &message);

    /// The initial membership, empty until known. It holds this replica with its incarnation, or this replica waits to be admitted.
    const std::optional<v1::Membership> &membership() const
    {
        return m_membership;
    }
    bool isMember() const;

private:
    void formIfComplete();

    const VmName m_self;
    const std::vector<VmName> m_initialVoters;
    std::map<std::string, std::uint64_t> m_incarnations;
    std::optional<v1::Membership> m_membership;
};

}

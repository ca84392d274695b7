#pragma once

#include "raft/types.h"

#include <map>
#include <vector>

namespace cumindyke::raft
{

/// Forms the first cluster: each of the first replicas must have been heard of once, with a new data folder.
///
/// A replica whose disk was lost looks just like one that starts for the first time. If it took itself for a first voter, it could vote
/// twice in a term, and an acknowledged command could be lost. So a replica with a new folder asks the others first; one that
/// belongs to a cluster answers with the members' incarnations, and whoever isn't among them waits to be admitted as a learner.
class Formation
{
public:
    Formation(VmName self, std::vector<VmName> firstVoters, std::uint64_t incarnation);

    /// Asks every other first replica.
    std::vector<v1::RaftMessage> ask() const;
    /// The answer of a replica that has a cluster, or none yet (then "formed" is null).
    static v1::RaftMessage answer(const v1::RaftMessage &question, const VmName &self, std::uint64_t incarnation, const v1::Membership *formed);
    void take(const v1::RaftMessage &message);

    /// The first members, once known. They hold this replica with its incarnation, or this replica waits to be admitted.
    const std::optional<v1::Membership> &formed() const
    {
        return m_formed;
    }
    bool belongs() const;

private:
    void formIfComplete();

    const VmName m_self;
    const std::vector<VmName> m_firstVoters;
    std::map<std::string, std::uint64_t> m_heard;
    std::optional<v1::Membership> m_formed;
};

}

#pragma once

#include "support/processes.h"

#include "operator.pb.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace cumindyke::test
{

/// Daemons "vm-1" to "vm-N", all with a disk; the first ones hold the first replicas of the log.
class ReplicaCluster
{
public:
    ReplicaCluster(int daemons, int replicas, const std::string &more = {});

    /// kill -9.
    void kill(int vm);
    void restart(int vm);
    /// Removes the data folder of a VM that is down.
    void wipe(int vm);
    /// The VM that leads, asked at any VM that runs; 0 when none says.
    int leader() const;
    /// Voters that the leader names.
    std::set<int> voters() const;

    /// Adds an organisation under a command id, and sends it again, to one VM after the other, until it is answered.
    /// Returns the revision.
    std::uint64_t change(int number);
    /// The command ids accepted so far, oldest first.
    std::vector<std::string> history() const;
    DaemonProcess &daemon(int vm)
    {
        return *m_daemons.at(static_cast<std::size_t>(vm - 1));
    }
    std::string folder(int vm) const
    {
        return m_folder.file("vm-" + std::to_string(vm));
    }

private:
    std::vector<int> running() const;
    /// Of any VM that runs and answers; empty when none does.
    v1::MembersReply members() const;

    TemporaryFolder m_folder;
    TestNetwork m_network;
    std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
    std::uint64_t m_revision = 0;
    std::size_t m_nextAsked = 0;
};

}

#pragma once

#include "support/processes.h"

#include "operator.pb.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace cumindyke::test
{

/// Daemons "vm-1" to "vm-N", all with a disk; the first ones are the initial replicas of the log.
class ReplicaCluster
{
public:
    ReplicaCluster(int daemons, int replicas, const std::string &extraSettings = {});

    /// Kills the daemon with SIGKILL.
    void kill(int vm);
    void restart(int vm);
    /// Removes the data folder of a VM whose daemon is not running.
    void wipe(int vm);
    /// Returns the number of the leader's VM as reported by any running VM; 0 when none reports a leader.
    int leader() const;
    /// Returns the voters that the leader reports.
    std::set<int> voters() const;

    /// Adds an organisation with a command id derived from the number; resends the command to one VM after the other until it is answered.
    /// Returns the revision.
    std::uint64_t change(int number);
    /// Returns the ids of the accepted commands, oldest first.
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
    /// Returns the reply of any running VM; empty when none replies.
    v1::MembersReply members() const;

    TemporaryFolder m_folder;
    TestNetwork m_network;
    std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
    std::uint64_t m_revision = 0;
    std::size_t m_nextContacted = 0;
};

}

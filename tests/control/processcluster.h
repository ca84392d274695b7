#pragma once

#include "support/link.h"
#include "support/processes.h"

#include <map>
#include <memory>
#include <vector>

namespace cumindyke::test
{

/// Runs daemons "vm-1" to "vm-N", of which the first has the log, with a link for each direction between two of them.
class ProcessCluster
{
public:
    explicit ProcessCluster(int daemons);

    DaemonProcess &daemon(int vm)
    {
        return *m_daemons.at(static_cast<std::size_t>(vm - 1));
    }
    bool ready(int vm) const;
    bool waitAllReady() const;
    /// Sets the mode of all links from and to a VM.
    void setLinks(int vm, Link::Mode mode);
    void stallOpenConnections(int vm);
    /// Applies declarations with the given number of organisations at a VM.
    ProcessResult apply(int vm, int organisations, std::vector<std::string> extraArguments = {});
    /// Returns the revision in force on a VM; 0 if it can't be queried.
    std::uint64_t revisionOn(int vm);
    std::string host(int vm) const
    {
        return m_network.host(vm);
    }
    const TestNetwork &network() const
    {
        return m_network;
    }

private:
    static std::string declarations(int organisations);

    int m_count;
    TemporaryFolder m_folder;
    TestNetwork m_network;
    std::map<std::pair<int, int>, std::unique_ptr<Link>> m_links;
    std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
};

}

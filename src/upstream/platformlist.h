#pragma once

#include "common/eventloop.h"
#include "domain/declarations.h"
#include "upstream/upstreamcall.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <set>
#include <string>

namespace cumindyke
{

/// Addresses of the VMs that the platform says are leaving: "HOST", or "HOST:PORT" for one process on it.
using LeavingVms = std::set<std::string>;

/// Reads {"vms":[{"address":…,"state":"live"|"leaving"}]}. Error: Invalid.
Result<LeavingVms> parsePlatformList(const std::string &json);

/// The declared upstreams on leaving VMs.
std::set<UpstreamName> leavingUpstreams(const LeavingVms &leaving, const Declarations &declarations);

/// The platform's list, read again twice a second from a file or over HTTP. The list lags, so what is seen of an upstream counts besides
/// (Availability). While it can't be read the last one stays in force. Used by one task, in its loop.
class PlatformList
{
public:
    /// A path, or "http://HOST:PORT/PATH".
    PlatformList(EventLoop &loop, const std::string &source);

    const LeavingVms &leaving() const
    {
        return m_leaving;
    }
    sigc::signal<void, const LeavingVms &> &changed()
    {
        return m_changed;
    }

private:
    void read();
    void fetch();
    void take(const std::string &json);
    void noteReadable(bool readable);

    EventLoop &m_loop;
    const std::string m_source;
    Timer m_poll;
    std::unique_ptr<UpstreamCall> m_call;
    std::string m_body;
    LeavingVms m_leaving;
    bool m_readable = true;
    sigc::signal<void, const LeavingVms &> m_changed;
};

}

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

/// Addresses of the VMs that are leaving according to the platform: "HOST", or "HOST:PORT" for a single process.
using LeavingVms = std::set<std::string>;

struct PlatformVms
{
    LeavingVms leaving;
    /// Entries that could not be parsed.
    std::size_t rejectedCount = 0;
};

/// Parses {"vms":[{"address":…,"state":"live"|"leaving"}]}, each entry by itself. Error: Invalid, if the text can't be split into entries.
Result<PlatformVms> parsePlatformList(const std::string &json);

/// Returns the declared upstreams on leaving VMs.
std::set<UpstreamName> drainingUpstreams(const LeavingVms &leaving, const Declarations &declarations);

/// The platform's list of VMs, polled twice a second from a file or over HTTP. The list lags, so the results of requests count as well (see
/// Availability). While the list can't be read, the last one remains in force. Used by one task, in its event loop.
class PlatformList
{
public:
    /// "source" is a path, or "http://HOST:PORT/PATH".
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
    void poll();
    void fetch();
    void handleContent(const std::string &json);
    void setReadable(bool readable);

    EventLoop &m_loop;
    const std::string m_source;
    Timer m_pollTimer;
    std::unique_ptr<UpstreamCall> m_call;
    std::string m_body;
    LeavingVms m_leaving;
    std::size_t m_rejectedCount = 0;
    bool m_readable = true;
    sigc::signal<void, const LeavingVms &> m_changed;
};

}

#pragma once

#include "common/eventloop.h"
#include "proxy/proxytypes.h"
#include "upstream/upstreamcall.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <vector>

namespace cumindyke
{

/// Reads the platform's list of upstreams, page after page, again and again. While it can't be read, the last list stays in force: it
/// costs tries at upstreams that are gone, where an empty list would cost every request. Used by one task, in its loop.
class InstanceFeed
{
public:
    InstanceFeed(EventLoop &loop, InstanceListProtocol protocol, Duration interval);

    void start();
    void stop();
    /// Emitted with each whole list.
    sigc::signal<void, const std::vector<UpstreamInstance> &> &read()
    {
        return m_read;
    }
    /// Emitted when an attempt failed; the next one follows.
    sigc::signal<void> &unreadable()
    {
        return m_unreadable;
    }

private:
    void fetch(const std::string &pageToken);
    void takePage();
    void failed(const std::string &why);
    void noteReadable(bool readable, const std::string &why);

    EventLoop &m_loop;
    const InstanceListProtocol m_protocol;
    const Duration m_interval;
    Timer m_next;
    std::unique_ptr<UpstreamCall> m_call;
    int m_status = 0;
    std::string m_body;
    std::vector<UpstreamInstance> m_gathered;
    std::size_t m_pages = 0;
    std::size_t m_rejected = 0;
    bool m_readable = false;
    sigc::signal<void, const std::vector<UpstreamInstance> &> m_read;
    sigc::signal<void> m_unreadable;
};

}

#pragma once

#include "common/eventloop.h"
#include "placement/listschedule.h"
#include "proxy/proxytypes.h"
#include "upstream/upstreamcall.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <vector>

namespace cumindyke
{

/// What was read: the whole list, or the part of one data centre.
struct InstanceList
{
    /// None: the whole.
    std::optional<DataCentreName> dataCentre;
    std::vector<UpstreamInstance> instances;
};

/// Reads the platform's list of upstreams, page after page, again and again. While it can't be read, the last list stays in force: it
/// costs tries at upstreams that are gone, where an empty list would cost every request. Used by one task, in its loop.
class InstanceListReader
{
public:
    InstanceListReader(EventLoop &loop, InstanceListProtocol protocol, DataCentreName here, Duration interval);

    void start();
    void stop();
    /// Whether the own data centre's upstreams are not enough: then the others' are read too.
    void setFartherWanted(bool wanted);
    /// One that has entry VMs.
    void takeDataCentre(const DataCentreName &dataCentre)
    {
        m_schedule.addDataCentre(dataCentre);
    }
    /// Emitted with what was read; before anything was, also with the first pages of it, for the requests that wait.
    sigc::signal<void, const InstanceList &> &read()
    {
        return m_read;
    }
    /// Emitted when an attempt failed; the next one follows.
    sigc::signal<void> &unreadable()
    {
        return m_unreadable;
    }

private:
    void readNext();
    void fetch();
    void takePage();
    void takeLast(TimePoint now);
    void pageFailed(const std::string &why);
    void noteReadable(bool readable, const std::string &why);

    EventLoop &m_loop;
    const InstanceListProtocol m_protocol;
    ListSchedule m_schedule;
    Timer m_next;
    Timer m_retry;
    std::unique_ptr<UpstreamCall> m_call;
    int m_status = 0;
    std::string m_body;
    /// What is being read, with the token of the page that is asked for.
    ListRead m_reading;
    InstanceList m_gathered;
    std::size_t m_pages = 0;
    std::size_t m_rejected = 0;
    int m_failuresOfPage = 0;
    bool m_fartherWanted = false;
    bool m_everRead = false;
    bool m_readable = false;
    sigc::signal<void, const InstanceList &> m_read;
    sigc::signal<void> m_unreadable;
};

}

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
    InstanceListReader(EventLoop &loop, InstanceListProtocol protocol, DataCentreName localDataCentre, Duration interval);

    void start();
    void stop();
    /// Whether the own data centre's upstreams are not enough: then the others' are read too.
    void setRemoteWanted(bool wanted);
    /// One that has entry VMs.
    void addDataCentre(const DataCentreName &dataCentre)
    {
        m_schedule.addDataCentre(dataCentre);
    }
    /// Emitted with what was read; before anything was, also with the first pages of it, for the requests that wait.
    sigc::signal<void, const InstanceList &> &listRead()
    {
        return m_listRead;
    }
    /// Emitted when an attempt failed; the next one follows.
    sigc::signal<void> &readFailed()
    {
        return m_readFailed;
    }

private:
    void startNextRead();
    void fetchPage();
    void handlePage();
    void finishRead(TimePoint now);
    void handlePageFailure(const std::string &reason);
    void updateReadable(bool readable, const std::string &reason);

    EventLoop &m_loop;
    const InstanceListProtocol m_protocol;
    ListSchedule m_schedule;
    Timer m_nextReadTimer;
    Timer m_retryTimer;
    std::unique_ptr<UpstreamCall> m_call;
    int m_status = 0;
    std::string m_body;
    /// What is being read, with the token of the page that is asked for.
    ListRead m_currentRead;
    InstanceList m_list;
    std::size_t m_pageCount = 0;
    std::size_t m_rejectedCount = 0;
    int m_pageFailures = 0;
    bool m_remoteWanted = false;
    bool m_wasRead = false;
    bool m_readable = false;
    sigc::signal<void, const InstanceList &> m_listRead;
    sigc::signal<void> m_readFailed;
};

}

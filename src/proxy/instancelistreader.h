#pragma once

#include "common/eventloop.h"
#include "placement/listschedule.h"
#include "proxy/proxytypes.h"
#include "upstream/upstreamcall.h"

#include <sigc++/sigc++.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cumindyke
{

/// The result of a read: the whole list, or the part of one data centre.
struct InstanceList
{
    /// None: the whole list.
    std::optional<DataCentreName> dataCentre;
    std::vector<UpstreamInstance> instances;
};

/// Reads the platform's list of upstreams periodically, page by page. While the list can't be read, the last one stays in force: an outdated list
/// costs attempts at upstreams that have shut down, an empty one would cost every request. Used by one task, in its loop.
class InstanceListReader
{
public:
    InstanceListReader(EventLoop &loop, InstanceListProtocol protocol, DataCentreName localDataCentre, Duration interval);

    void start();
    void stop();
    /// Sets whether the local upstreams do not suffice, so that the other data centres' parts are read too.
    void setRemoteWanted(bool wanted);
    /// Adds a data centre that has entry VMs.
    void addDataCentre(const DataCentreName &dataCentre)
    {
        m_schedule.addDataCentre(dataCentre);
    }
    /// Emitted with each completed read. Before the first one it is also emitted with the first pages, for the sake of waiting requests.
    sigc::signal<void, const InstanceList &> &listRead()
    {
        return m_listRead;
    }
    /// Emitted with each page that has entries which name no usable upstream: how many.
    sigc::signal<void, std::size_t> &entriesRejected()
    {
        return m_entriesRejected;
    }
    /// Emitted when a read of a page failed; it is retried.
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
    void reportRejected();

    EventLoop &m_loop;
    const InstanceListProtocol m_protocol;
    ListSchedule m_schedule;
    Timer m_nextReadTimer;
    Timer m_retryTimer;
    std::unique_ptr<UpstreamCall> m_call;
    int m_status = 0;
    std::string m_body;
    /// The current read, with the token of the requested page.
    ListRead m_currentRead;
    InstanceList m_list;
    std::size_t m_pageCount = 0;
    std::set<std::string> m_requestedTokens;
    /// Of the current read.
    std::multiset<std::string> m_rejected;
    /// Of the last complete read of the whole list and of each part.
    std::map<std::optional<DataCentreName>, std::multiset<std::string>> m_reportedRejected;
    int m_pageFailures = 0;
    bool m_remoteWanted = false;
    bool m_wasRead = false;
    /// None: nothing was read yet.
    std::optional<bool> m_readable;
    sigc::signal<void, const InstanceList &> m_listRead;
    sigc::signal<void, std::size_t> m_entriesRejected;
    sigc::signal<void> m_readFailed;
};

}

#pragma once

#include "cell/cellscheduler.h"
#include "cell/loadpoller.h"
#include "common/mailbox.h"
#include "common/metrics.h"
#include "control/controltask.h"

#include <map>
#include <memory>
#include <set>
#include <thread>
#include <variant>

namespace cumindyke
{

struct CellTaskOptions
{
    VmName vm;
    /// All VMs, this one too: each may hold capacity of a cell.
    std::set<VmName> vms;
    PeerSender send;
};

using CellTaskMessage = std::variant<Configuration, PeerMessage>;

/// Runs the schedulers of the cells that are assigned to this VM, while its lease lasts.
///
/// Failure guarded against: a VM that was cut off or stopped goes on granting a cell that another VM schedules by now, seen as engines
/// with twice the work they can hold. Each step compares the time with the lease, which this VM counts from before it asked for it, so
/// it has stopped before the leader may assign the cell anew; entry VMs besides ignore grants of an older epoch.
class CellTask
{
public:
    CellTask(CellTaskOptions options, Metrics &metrics);
    ~CellTask();
    CellTask(const CellTask &) = delete;
    CellTask &operator=(const CellTask &) = delete;

    /// Starts the task's thread. Call once.
    void start();
    /// Ends the task's thread; what is posted from then on is not handled. Safe to call again.
    void stop();
    /// Safe from any thread.
    void post(CellTaskMessage message);

private:
    void handle(Configuration &&configuration);
    void handle(PeerMessage &&message);
    void updateCells(TimePoint now);
    void startScheduler(const v1::CellAssignment &assignment, TimePoint now);
    void updateUpstreams(CellScheduler &scheduler, const CellName &cell, TimePoint now) const;
    void updateWatch();
    void dropWithoutLease(TimePoint now);
    CellScheduler *schedulerOf(const UpstreamName &upstream);
    CellScheduler *schedulerOf(const std::string &cell);
    void messageCame(TimePoint now);
    void step();

    const CellTaskOptions m_options;
    EventLoop m_loop;
    Mailbox<CellTaskMessage> m_mailbox;
    /// A step some time after a message came, so that messages of many VMs are answered together.
    Timer m_soon;
    Timer m_regular;
    LoadPoller m_watch;
    Configuration m_configuration;
    std::map<CellName, Epoch> m_epochs;
    std::map<CellName, CellScheduler> m_schedulers;
    /// The last step that answered anybody.
    TimePoint m_lastStep;
    bool m_stepDue = false;
    Gauge m_cellCount;
    Counter m_grantMessages;
    std::thread m_thread;
};

}

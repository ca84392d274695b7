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
    /// All VMs, including this one: each may hold slots of a cell.
    std::set<VmName> vms;
    PeerSender send;
};

using CellTaskMessage = std::variant<Configuration, PeerMessage>;

/// Runs the schedulers of the cells that are assigned to this VM, while its lease is valid.
///
/// Failure guarded against: a VM that was cut off or suspended continues to grant slots of a cell that another VM schedules by then, so that
/// engines get twice the requests that they can run. Each step compares the time with the lease, which this VM counts from before it requested
/// the lease, so it stops before the leader may reassign the cell. In addition, entry VMs ignore grants of an older epoch.
class CellTask
{
public:
    CellTask(CellTaskOptions options, Metrics &metrics);
    ~CellTask();
    CellTask(const CellTask &) = delete;
    CellTask &operator=(const CellTask &) = delete;

    /// Starts the task's thread. Call once.
    void start();
    /// Stops the task's thread; messages posted afterwards are not handled. Safe to call more than once.
    void stop();
    /// Posts a message to the task. Safe from any thread.
    void post(CellTaskMessage message);

private:
    void handle(Configuration &&configuration);
    void handle(PeerMessage &&message);
    void updateCells(TimePoint now);
    void startScheduler(const v1::CellAssignment &assignment, TimePoint now);
    void updateUpstreams(CellScheduler &scheduler, const CellName &cell, TimePoint now) const;
    void updatePolledUpstreams();
    void stopWithoutLease(TimePoint now);
    CellScheduler *schedulerOf(const UpstreamName &upstream);
    CellScheduler *schedulerOf(const std::string &cell);
    void scheduleStep(TimePoint now);
    void step();

    const CellTaskOptions m_options;
    EventLoop m_loop;
    Mailbox<CellTaskMessage> m_mailbox;
    /// Starts a step after messages have been received, delayed so that the messages of many VMs are answered together.
    Timer m_coalescingTimer;
    /// Starts a step at a fixed interval.
    Timer m_stepTimer;
    LoadPoller m_loadPoller;
    Configuration m_configuration;
    std::map<CellName, Epoch> m_epochs;
    std::map<CellName, CellScheduler> m_schedulers;
    /// When the last step sent replies.
    TimePoint m_lastReplyAt;
    bool m_stepScheduled = false;
    Gauge m_cellCount;
    Counter m_grantMessages;
    std::thread m_thread;
};

}

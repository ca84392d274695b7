#pragma once

#include "common/eventloop.h"
#include "common/mailbox.h"
#include "control/journal.h"
#include "control/statemachine.h"
#include "peer/peertransport.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <thread>
#include <variant>

namespace cumindyke
{

/// What a VM must have in force: handed to the other tasks whenever it changes.
struct Configuration
{
    std::shared_ptr<const Declarations> declarations;
    std::vector<v1::Move> moves;
    /// Which VM schedules each cell, by the cell's name.
    std::map<std::string, v1::CellAssignment> cells;
    /// New work is admitted only before this time: the configuration lease. Far in the future on a single replica.
    TimePoint admitUntil;
};

/// A command for the log, and what to do with its answer (called in the control task's thread).
struct Proposal
{
    v1::Command command;
    std::function<void(const Result<v1::ProposeReply> &)> answer;
};

/// A look at the state, made in the control task's thread.
struct StateQuery
{
    std::function<void(const StateMachine &)> look;
};

/// A subscription to configurations: called in the control task's thread at once and at each change.
struct Subscription
{
    std::function<void(const Configuration &)> changed;
};

using ControlMessage = std::variant<Proposal, StateQuery, Subscription, PeerMessage>;

struct ControlOptions
{
    VmName vm;
    DataCentreName dataCentre;
    /// Empty on a VM without a disk: it holds no replica.
    std::string dataFolder;
    /// The first replicas of the log; used only when the data folder is new.
    std::vector<VmName> replicas;
    /// The other VMs.
    std::map<VmName, Address> peers;
    PeerSender send;
};

/// Owns the log and the state machine. Other tasks talk to it by post().
class ControlTask
{
public:
    /// Recovers the state from the data folder and starts the task's thread. Errors: Storage.
    static Result<std::unique_ptr<ControlTask>> start(ControlOptions options);
    ~ControlTask();
    ControlTask(const ControlTask &) = delete;
    ControlTask &operator=(const ControlTask &) = delete;

    /// Safe from any thread.
    void post(ControlMessage message);

private:
    explicit ControlTask(ControlOptions options);
    void handle(ControlMessage &&message);
    void handle(Proposal &proposal);
    Configuration configuration() const;

    const ControlOptions m_options;
    EventLoop m_loop;
    Mailbox<ControlMessage> m_mailbox;
    StateMachine m_state;
    std::unique_ptr<Journal> m_journal;
    sigc::signal<void, const Configuration &> m_configurationChanged;
    std::thread m_thread;
};

}

#include "control/controltask.h"

#include "common/log.h"

namespace cumindyke
{

Result<std::unique_ptr<ControlTask>> ControlTask::start(ControlOptions options)
{
    std::unique_ptr<ControlTask> task(new ControlTask(std::move(options)));
    auto journal = Journal::open(task->m_options.dataFolder, [&state = task->m_state](std::string_view record) {
        v1::Command command;
        if (command.ParseFromArray(record.data(), static_cast<int>(record.size()))) {
            state.apply(command);
        }
    });
    if (!ok(journal)) {
        return errorOf(journal);
    }
    task->m_journal = std::move(valueOf(journal));
    logChange("control", "recovered", {{"revision", std::to_string(task->m_state.declarations().revision().value)}});
    task->m_thread = std::thread([loop = &task->m_loop] { loop->run(); });
    return task;
}

ControlTask::ControlTask(ControlOptions options)
    : m_options(std::move(options))
    , m_mailbox(m_loop, [this](ControlMessage &&message) { handle(std::move(message)); })
{
}

ControlTask::~ControlTask()
{
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ControlTask::post(ControlMessage message)
{
    m_mailbox.post(std::move(message));
}

void ControlTask::handle(ControlMessage &&message)
{
    if (auto *proposal = std::get_if<Proposal>(&message)) {
        handle(*proposal);
    } else if (auto *query = std::get_if<StateQuery>(&message)) {
        query->look(m_state);
    } else if (auto *subscription = std::get_if<Subscription>(&message)) {
        subscription->changed(configuration());
        m_configurationChanged.connect(subscription->changed);
    }
}

void ControlTask::handle(Proposal &proposal)
{
    proposal.command.set_at_ms(EventLoop::wallNow().value);
    const Result<Done> written = m_journal->append(proposal.command.SerializeAsString());
    if (!ok(written)) {
        logWarning("control", "storage-failed", {{"error", errorOf(written).message}});
        proposal.answer(errorOf(written));
        return;
    }
    const Revision before = m_state.declarations().revision();
    const v1::ProposeReply reply = m_state.apply(proposal.command);
    if (m_state.declarations().revision() != before) {
        logChange("control", "revision-accepted", {{"revision", std::to_string(m_state.declarations().revision().value)}});
        m_configurationChanged.emit(configuration());
    }
    proposal.answer(reply);
}

Configuration ControlTask::configuration() const
{
    Configuration configuration{
        .declarations = std::make_shared<const Declarations>(m_state.declarations()),
        .moves = {},
        .cells = {},
        .admitUntil = TimePoint::max(),
    };
    for (const auto &[name, move] : m_state.moves()) {
        configuration.moves.push_back(move);
    }
    return configuration;
}

}

#include "control/statemachine.h"

#include "control/convert.h"
#include "control/movecommands.h"

namespace cumindyke
{

namespace
{

constexpr std::size_t MaxHistory = 10'000;
/// At 5,100 changes a day this is twelve days: no client resends a command that long.
constexpr std::size_t MaxAnswers = 65'536;

v1::CommandReply invalid(Revision revision, const std::string &message)
{
    v1::CommandReply reply;
    reply.set_outcome(v1::CommandReply::INVALID);
    reply.set_revision(revision.value);
    reply.set_message(message);
    return reply;
}

}

v1::ProposeReply StateMachine::apply(const v1::Command &command)
{
    if (const auto known = m_answers.find(command.command_id()); known != m_answers.end()) {
        return known->second;
    }
    v1::ProposeReply reply;
    switch (command.command_case()) {
    case v1::Command::kApply:
        *reply.mutable_reply() = applyChanges(command, command.apply());
        break;
    case v1::Command::kStartMove:
        *reply.mutable_reply() = startMove(m_moves, m_declarations, command.start_move(), WallTime{command.at_ms()});
        break;
    case v1::Command::kAbortMove:
        *reply.mutable_reply() = abortMove(m_moves, m_declarations, command.abort_move(), WallTime{command.at_ms()});
        break;
    case v1::Command::kMoveVerdict:
        *reply.mutable_reply() = decideMove(command);
        break;
    default:
        *reply.mutable_reply() = invalid(m_declarations.revision(), "the command is not known to this version: upgrade this VM");
        break;
    }
    remember(command.command_id(), reply);
    return reply;
}

v1::CommandReply StateMachine::applyChanges(const v1::Command &command, const v1::ApplyRequest &request)
{
    v1::CommandReply reply;
    reply.set_revision(m_declarations.revision().value);
    if (request.base_revision() != m_declarations.revision().value) {
        reply.set_outcome(v1::CommandReply::CONFLICT);
        reply.set_message("revision " + std::to_string(request.base_revision()) + " is not the latest, " + std::to_string(m_declarations.revision().value)
                          + ": look at what won, then diff and apply again");
        for (const v1::HistoryEntry &entry : historyAfter(Revision{request.base_revision()})) {
            *reply.add_winners() = entry;
        }
        return reply;
    }
    std::vector<Change> changes;
    for (const v1::Change &wire : request.changes()) {
        const Result<Change> change = fromWire(wire);
        if (!ok(change)) {
            return invalid(m_declarations.revision(), errorOf(change).message);
        }
        changes.push_back(valueOf(change));
    }
    const Result<Declarations> next = m_declarations.apply(changes);
    if (!ok(next)) {
        return invalid(m_declarations.revision(), errorOf(next).message);
    }
    if (const std::optional<Error> broken = brokenMoveRule(m_moves, valueOf(next))) {
        return invalid(m_declarations.revision(), broken->message);
    }
    acceptChanges(command, request.author(), changes, valueOf(next));
    reply.set_outcome(v1::CommandReply::ACCEPTED);
    reply.set_revision(m_declarations.revision().value);
    return reply;
}

void StateMachine::acceptChanges(const v1::Command &command, const std::string &author, const std::vector<Change> &changes, const Declarations &next)
{
    m_declarations = next;
    v1::HistoryEntry entry;
    entry.set_revision(m_declarations.revision().value);
    entry.set_command_id(command.command_id());
    entry.set_author(author);
    entry.set_at_ms(command.at_ms());
    for (const Change &change : changes) {
        *entry.add_changes() = toWire(change);
    }
    m_history.push_back(entry);
    if (m_history.size() > MaxHistory) {
        m_history.pop_front();
    }
}

v1::CommandReply StateMachine::decideMove(const v1::Command &command)
{
    const AppliedVerdict applied = applyVerdict(m_moves, m_declarations, command.move_verdict(), WallTime{command.at_ms()});
    if (applied.declared) {
        const std::vector<Change> changes{*applied.declared};
        acceptChanges(command, "move " + command.move_verdict().move(), changes, valueOf(m_declarations.apply(changes)));
    }
    return applied.reply;
}

void StateMachine::remember(const std::string &commandId, const v1::ProposeReply &reply)
{
    m_answers.emplace(commandId, reply);
    m_answerOrder.push_back(commandId);
    if (m_answerOrder.size() > MaxAnswers) {
        m_answers.erase(m_answerOrder.front());
        m_answerOrder.pop_front();
    }
}

std::vector<v1::HistoryEntry> StateMachine::historyAfter(Revision revision) const
{
    std::vector<v1::HistoryEntry> entries;
    for (const v1::HistoryEntry &entry : m_history) {
        if (entry.revision() > revision.value) {
            entries.push_back(entry);
        }
    }
    return entries;
}

std::string StateMachine::snapshot() const
{
    v1::StateSnapshot snapshot;
    *snapshot.mutable_declarations() = toWire(m_declarations);
    for (const auto &[name, move] : m_moves) {
        *snapshot.add_moves() = move;
    }
    for (const v1::HistoryEntry &entry : m_history) {
        *snapshot.add_history() = entry;
    }
    for (const std::string &id : m_answerOrder) {
        v1::Answered &answered = *snapshot.add_answers();
        answered.set_command_id(id);
        *answered.mutable_reply() = m_answers.at(id);
    }
    return snapshot.SerializeAsString();
}

Result<Done> StateMachine::restore(const std::string &bytes)
{
    v1::StateSnapshot snapshot;
    if (!snapshot.ParseFromString(bytes)) {
        return Error{ErrorKind::Storage, "the snapshot can't be read: take another copy"};
    }
    const Result<Declarations> declarations = fromWire(snapshot.declarations());
    if (!ok(declarations)) {
        return errorOf(declarations);
    }
    *this = StateMachine();
    m_declarations = valueOf(declarations);
    for (const v1::Move &move : snapshot.moves()) {
        m_moves.emplace(move.name(), move);
    }
    m_history.assign(snapshot.history().begin(), snapshot.history().end());
    for (const v1::Answered &answered : snapshot.answers()) {
        remember(answered.command_id(), answered.reply());
    }
    return Done{};
}

}

#include "control/statemachine.h"

#include "control/convert.h"
#include "control/movecommands.h"
#include "report/burnwire.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr std::size_t MaxHistoryEntries = 10'000;
/// At 5,100 changes a day these cover twelve days; no client resends a command for that long.
constexpr std::size_t MaxSavedAnswers = 65'536;

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
    // Claims save their own answers by request id: at thousands a second they would evict the operators' answers.
    if (command.has_claim() || command.has_claim_end()) {
        return applyClaim(command);
    }
    // A repeated command about suspects changes nothing, so its answer is not saved either. VMs get the table with their leases.
    if (command.has_suspects()) {
        v1::ProposeReply reply;
        *reply.mutable_reply() = m_crashLedger.apply(command.suspects(), WallTime{command.at_ms()});
        return reply;
    }
    if (const auto known = m_savedAnswers.find(command.command_id()); known != m_savedAnswers.end()) {
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
        *reply.mutable_reply() = applyMoveVerdict(command);
        break;
    case v1::Command::kRecordBurn:
        m_burn.record(fromWire(command.record_burn().counts()), WallTime{command.at_ms()});
        m_crashLedger.expire(WallTime{command.at_ms()});
        // VMs need no part of this in force, so the version stays; the answer is not saved, since the command is never resent.
        return reply;
    case v1::Command::kPublishRoutes:
        *reply.mutable_reply() = publishRoutes(command.publish_routes());
        break;
    case v1::Command::kStartRollout:
        *reply.mutable_reply() = applyStartRollout(command);
        break;
    case v1::Command::kRolloutVerdict:
        applyRolloutVerdict(m_rollouts, command.rollout_verdict());
        *reply.mutable_reply() = acceptedReply();
        break;
    case v1::Command::kEvacuation:
        *reply.mutable_reply() = m_evacuations.apply(command.evacuation(), m_version + 1, WallTime{command.at_ms()});
        break;
    case v1::Command::kAssignCell:
        *reply.mutable_reply() = assignCell(command.assign_cell());
        break;
    case v1::Command::kRestore:
        *reply.mutable_reply() = restoreDeclarations(command, command.restore());
        break;
    default:
        *reply.mutable_reply() = invalid(m_declarations.revision(), "the command is not known to this version: upgrade this VM");
        break;
    }
    if (reply.reply().outcome() == v1::CommandReply::ACCEPTED) {
        ++m_version;
    }
    saveAnswer(command.command_id(), reply);
    return reply;
}

v1::ProposeReply StateMachine::applyClaim(const v1::Command &command)
{
    v1::ProposeReply reply;
    if (command.has_claim()) {
        *reply.mutable_claim() = m_claims.claim(command.claim(), WallTime{command.at_ms()});
    } else {
        m_claims.end(command.claim_end(), WallTime{command.at_ms()});
        // A forwarded command is resent until its reply has an outcome.
        reply.mutable_reply()->set_outcome(v1::CommandReply::ACCEPTED);
    }
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
    if (const std::optional<Error> violation = brokenMoveRule(m_moves, valueOf(next))) {
        return invalid(m_declarations.revision(), violation->message);
    }
    m_declarations = valueOf(next);
    addHistory(command, request.author(), request.changes());
    return acceptedReply();
}

/// Puts the highest version in force. A lower or equal one is accepted without effect: it is a resend, or lost a race against a newer one.
v1::CommandReply StateMachine::publishRoutes(const v1::PublishRoutes &publication)
{
    Result<RouteTablePointer> table = unpackRouteTable(publication);
    if (!ok(table)) {
        return invalid(m_declarations.revision(), errorOf(table).message);
    }
    if (valueOf(table)->version() > m_routeHistory.newest().version()) {
        m_routes = publication;
        m_routeHistory.publish(std::move(valueOf(table)), publication.packed_table());
    }
    return acceptedReply();
}

v1::CommandReply StateMachine::applyStartRollout(const v1::Command &command)
{
    const std::string &service = command.start_rollout().service();
    const auto &services = m_routeHistory.newest().services();
    if (std::ranges::none_of(services, [&service](const v1::RoutedService &known) { return known.name() == service; })) {
        return invalid(m_declarations.revision(), "there is no service '" + service + "': publish it first, or mend the name");
    }
    startRollout(m_rollouts, command.start_rollout(), WallTime{command.at_ms()});
    return acceptedReply();
}

v1::CommandReply StateMachine::acceptedReply() const
{
    v1::CommandReply reply;
    reply.set_outcome(v1::CommandReply::ACCEPTED);
    reply.set_revision(m_declarations.revision().value);
    return reply;
}

void StateMachine::addHistory(const v1::Command &command, const std::string &author, const google::protobuf::RepeatedPtrField<v1::Change> &changes)
{
    v1::HistoryEntry entry;
    entry.set_revision(m_declarations.revision().value);
    entry.set_command_id(command.command_id());
    entry.set_author(author);
    entry.set_at_ms(command.at_ms());
    *entry.mutable_changes() = changes;
    m_history.push_back(std::move(entry));
    if (m_history.size() > MaxHistoryEntries) {
        m_history.pop_front();
    }
}

v1::CommandReply StateMachine::applyMoveVerdict(const v1::Command &command)
{
    const AppliedVerdict applied = applyVerdict(m_moves, m_declarations, command.move_verdict(), WallTime{command.at_ms()});
    if (!applied.newDeclaration) {
        return applied.reply;
    }
    const Change change = *applied.newDeclaration;
    const Result<Declarations> next = m_declarations.apply({change});
    if (ok(next)) {
        m_declarations = valueOf(next);
        google::protobuf::RepeatedPtrField<v1::Change> changes;
        *changes.Add() = toWire(change);
        addHistory(command, "move " + command.move_verdict().move(), changes);
    }
    return applied.reply;
}

void StateMachine::saveAnswer(const std::string &commandId, const v1::ProposeReply &reply)
{
    m_savedAnswers.emplace(commandId, reply);
    m_savedAnswerOrder.push_back(commandId);
    if (m_savedAnswerOrder.size() > MaxSavedAnswers) {
        m_savedAnswers.erase(m_savedAnswerOrder.front());
        m_savedAnswerOrder.pop_front();
    }
}

v1::CommandReply StateMachine::assignCell(const v1::CellAssignment &assignment)
{
    v1::CellAssignment &cell = m_cells[assignment.cell()];
    // Two successive leaders may assign the same epoch: the first assignment in the log wins, so that an epoch never has two holders.
    if (assignment.epoch() != cell.epoch() + 1) {
        return invalid(m_declarations.revision(), "the cell is at epoch " + std::to_string(cell.epoch()) + " already: look again before you assign it");
    }
    const std::string before = cell.vm();
    cell = assignment;
    cell.set_before(before);
    cell.set_version(m_version + 1);
    return acceptedReply();
}

/// Makes the snapshot's declarations the newest revision. Revisions, versions and epochs only grow, and answers saved since the snapshot was taken
/// are kept.
v1::CommandReply StateMachine::restoreDeclarations(const v1::Command &command, const v1::RestoreSnapshotRequest &request)
{
    v1::StateSnapshot snapshot;
    StateMachine source;
    // The routes of the snapshot are not restored.
    if (!snapshot.ParseFromString(request.snapshot()) || !ok(source.restoreFrom(snapshot))) {
        return invalid(m_declarations.revision(), "the snapshot can't be read: give a file that 'snapshot save' wrote");
    }
    for (const v1::HistoryEntry &entry : m_history) {
        const auto first = source.m_history.empty() ? entry.revision() + 1 : source.m_history.front().revision();
        if (entry.revision() < first || entry.revision() - first >= source.m_history.size()) {
            continue;
        }
        const v1::HistoryEntry &other = source.m_history[entry.revision() - first];
        if (other.revision() == entry.revision() && other.command_id() != entry.command_id()) {
            return invalid(m_declarations.revision(),
                           "the snapshot is of another history: its revision " + std::to_string(entry.revision())
                               + " was made by another command. Restore it into a new system, or apply the declarations from version control");
        }
    }
    const std::vector<Change> changes = m_declarations.changesTo(source.m_declarations);
    if (changes.empty()) {
        v1::CommandReply reply = acceptedReply();
        reply.set_message("nothing to change");
        return reply;
    }
    if (const std::optional<Error> violation = brokenMoveRule(m_moves, source.m_declarations)) {
        return invalid(m_declarations.revision(), violation->message);
    }
    const bool isNew = m_declarations.revision() == Revision{0};
    const Revision next{std::max(m_declarations.revision().value, source.m_declarations.revision().value) + 1};
    m_declarations = Declarations::restored(next, Declarations().changesTo(source.m_declarations));
    m_version = std::max(m_version, source.m_version);
    for (const auto &[name, sourceCell] : source.m_cells) {
        // Upstreams may remember earlier epochs: the next one must be higher than all of them.
        v1::CellAssignment &cell = m_cells[name];
        cell.set_cell(name);
        cell.set_epoch(std::max(cell.epoch(), sourceCell.epoch()));
    }
    if (isNew) {
        m_history = source.m_history;
        m_moves = source.m_moves;
        for (const std::string &id : source.m_savedAnswerOrder) {
            saveAnswer(id, source.m_savedAnswers.at(id));
        }
    }
    google::protobuf::RepeatedPtrField<v1::Change> wire;
    for (const Change &change : changes) {
        *wire.Add() = toWire(change);
    }
    addHistory(command, "snapshot restore", wire);
    return acceptedReply();
}

std::vector<v1::HistoryEntry> StateMachine::historyAfter(Revision revision) const
{
    const auto isLater = [](std::uint64_t after, const v1::HistoryEntry &entry) { return after < entry.revision(); };
    return {std::upper_bound(m_history.begin(), m_history.end(), revision.value, isLater), m_history.end()};
}

const v1::ProposeReply *StateMachine::savedAnswer(const std::string &commandId) const
{
    const auto known = m_savedAnswers.find(commandId);
    return known == m_savedAnswers.end() ? nullptr : &known->second;
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
    for (const auto &[name, cell] : m_cells) {
        *snapshot.add_cells() = cell;
    }
    snapshot.set_version(m_version);
    *snapshot.mutable_burn() = toWire(m_burn);
    for (const std::string &id : m_savedAnswerOrder) {
        v1::Answered &answered = *snapshot.add_answers();
        answered.set_command_id(id);
        *answered.mutable_reply() = m_savedAnswers.at(id);
    }
    m_claims.save(snapshot);
    m_crashLedger.writeTo(snapshot);
    m_evacuations.writeTo(snapshot);
    *snapshot.mutable_routes() = m_routes;
    for (const auto &[service, rollout] : m_rollouts) {
        *snapshot.add_rollouts() = rollout;
    }
    return snapshot.SerializeAsString();
}

Result<Done> StateMachine::restore(const std::string &bytes)
{
    v1::StateSnapshot snapshot;
    if (!snapshot.ParseFromString(bytes)) {
        return Error{ErrorKind::Storage, "the snapshot can't be read: take another copy"};
    }
    if (snapshot.has_routes() && !ok(unpackRouteTable(snapshot.routes()))) {
        return Error{ErrorKind::Storage, "the snapshot's routes can't be read: take another copy"};
    }
    return restoreFrom(snapshot);
}

Result<Done> StateMachine::restoreFrom(const v1::StateSnapshot &snapshot)
{
    const Result<Declarations> declarations = fromWire(snapshot.declarations());
    if (!ok(declarations)) {
        return errorOf(declarations);
    }
    *this = StateMachine();
    m_declarations = valueOf(declarations);
    m_claims.restore(snapshot);
    m_crashLedger.readFrom(snapshot);
    m_evacuations.readFrom(snapshot);
    for (const v1::Move &move : snapshot.moves()) {
        m_moves.emplace(move.name(), move);
    }
    for (const v1::CellAssignment &cell : snapshot.cells()) {
        m_cells.emplace(cell.cell(), cell);
    }
    m_version = snapshot.version();
    if (snapshot.has_routes()) {
        publishRoutes(snapshot.routes());
    }
    for (const v1::Rollout &rollout : snapshot.rollouts()) {
        m_rollouts.emplace(rollout.service(), rollout);
    }
    m_burn = fromWire(snapshot.burn());
    m_history.assign(snapshot.history().begin(), snapshot.history().end());
    for (const v1::Answered &answered : snapshot.answers()) {
        saveAnswer(answered.command_id(), answered.reply());
    }
    return Done{};
}

}

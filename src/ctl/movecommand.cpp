#include "ctl/context.h"

#include <cxxopts.hpp>

#include <chrono>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace cumindyke
{

namespace
{

std::int64_t wallNowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// "90s", "30m" or "4h" from now, or a time like 2026-12-03T18:00:00Z. Error: BadRequest.
Result<std::int64_t> parseDeadline(const std::string &text, std::int64_t nowMs)
{
    const Error wrong{ErrorKind::BadRequest, "--deadline '" + text + "': write 90s, 30m, 4h, or a time like 2026-12-03T18:00:00Z"};
    std::tm time{};
    std::istringstream reader(text);
    reader >> std::get_time(&time, "%Y-%m-%dT%H:%M:%SZ");
    if (!reader.fail()) {
        return static_cast<std::int64_t>(timegm(&time)) * 1'000;
    }
    std::istringstream amount(text);
    std::int64_t number = 0;
    char unit = 0;
    if (!(amount >> number >> unit) || number <= 0 || number > 100'000 || amount.peek() != std::istringstream::traits_type::eof()) {
        return wrong;
    }
    const std::int64_t seconds = unit == 's' ? 1 : unit == 'm' ? 60 : unit == 'h' ? 3'600 : 0;
    if (seconds == 0) {
        return wrong;
    }
    return nowMs + number * seconds * 1'000;
}

std::string timeText(std::int64_t ms)
{
    const std::time_t seconds = ms / 1'000;
    std::tm time{};
    gmtime_r(&seconds, &time);
    std::ostringstream text;
    text << std::put_time(&time, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

const char *stateText(v1::MoveState state)
{
    switch (state) {
    case v1::MOVE_STATE_RAMPING:
        return "ramping";
    case v1::MOVE_STATE_SOAKING:
        return "soaking";
    case v1::MOVE_STATE_DONE:
        return "done";
    case v1::MOVE_STATE_TAKEN_BACK:
        return "taken back";
    case v1::MOVE_STATE_ABORTED:
        return "aborted";
    default:
        return "unknown";
    }
}

void printMove(const v1::Move &move)
{
    std::cout << move.name() << ": " << stateText(move.state()) << " since " << timeText(move.state_since_ms()) << ", " << move.share_permille() / 10.0
              << "% of " << move.service() << " on " << move.to_version() << " (from " << move.from_version() << ", deadline " << timeText(move.deadline_ms())
              << "): " << move.reason() << "\n";
}

ExitCode startMoveCommand(const Context &context)
{
    if (context.arguments.size() != 3 || context.options.count("deadline") == 0) {
        std::cerr << "cumindykectl: usage: cumindykectl move start SERVICE VERSION --deadline TIME\n";
        return ExitUsage;
    }
    const Result<std::int64_t> deadline = parseDeadline(context.options["deadline"].as<std::string>(), wallNowMs());
    if (!ok(deadline)) {
        std::cerr << "cumindykectl: " << errorOf(deadline).message << "\n";
        return ExitUsage;
    }
    v1::StartMoveRequest request;
    request.set_command_id(context.commandId());
    request.set_service(context.arguments[1]);
    request.set_to_version(context.arguments[2]);
    request.set_deadline_ms(valueOf(deadline));
    request.set_author(context.author());
    const Result<v1::CommandReply> reply = context.client().startMove(request);
    return ok(reply) ? printReply(valueOf(reply), context.form) : printError(errorOf(reply));
}

ExitCode abortMoveCommand(const Context &context)
{
    if (context.arguments.size() != 2) {
        std::cerr << "cumindykectl: usage: cumindykectl move abort MOVE\n";
        return ExitUsage;
    }
    v1::AbortMoveRequest request;
    request.set_command_id(context.commandId());
    request.set_move(context.arguments[1]);
    request.set_author(context.author());
    const Result<v1::CommandReply> reply = context.client().abortMove(request);
    return ok(reply) ? printReply(valueOf(reply), context.form) : printError(errorOf(reply));
}

ExitCode moveStatusCommand(const Context &context)
{
    const Result<v1::MovesReply> reply = context.client().moves();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    v1::MovesReply wanted;
    for (const v1::Move &move : valueOf(reply).moves()) {
        if (context.arguments.size() < 2 || context.arguments[1] == move.name() || context.arguments[1] == move.service()) {
            *wanted.add_moves() = move;
        }
    }
    if (context.form == OutputForm::Json) {
        printJson(wanted);
        return ExitOk;
    }
    for (const v1::Move &move : wanted.moves()) {
        printMove(move);
    }
    if (wanted.moves().empty()) {
        std::cout << "no move\n";
    }
    return ExitOk;
}

}

ExitCode moveCommand(const Context &context)
{
    const std::string &what = context.arguments[0];
    if (what == "start") {
        return startMoveCommand(context);
    }
    if (what == "status") {
        return moveStatusCommand(context);
    }
    if (what == "abort") {
        return abortMoveCommand(context);
    }
    std::cerr << "cumindykectl: usage: cumindykectl move start|status|abort\n";
    return ExitUsage;
}

}

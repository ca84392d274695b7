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

std::int64_t wallTimeMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Returns the deadline in milliseconds since the Unix epoch. The text is a time span from now ("90s", "30m", "4h"; 1 to 100000 units) or a
/// UTC time like 2026-12-03T18:00:00Z. Error: BadRequest.
Result<std::int64_t> parseDeadline(const std::string &text, std::int64_t nowMs)
{
    const Error error{ErrorKind::BadRequest, "--deadline '" + text + "': write 90s, 30m, 4h, or a time like 2026-12-03T18:00:00Z"};
    std::tm utc{};
    std::istringstream timeStream(text);
    timeStream >> std::get_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
    if (!timeStream.fail()) {
        return static_cast<std::int64_t>(timegm(&utc)) * 1'000;
    }
    std::istringstream spanStream(text);
    std::int64_t amount = 0;
    char unit = 0;
    if (!(spanStream >> amount >> unit) || amount <= 0 || amount > 100'000 || spanStream.peek() != std::istringstream::traits_type::eof()) {
        return error;
    }
    const std::int64_t unitSeconds = unit == 's' ? 1 : unit == 'm' ? 60 : unit == 'h' ? 3'600 : 0;
    if (unitSeconds == 0) {
        return error;
    }
    return nowMs + amount * unitSeconds * 1'000;
}

/// Formats milliseconds since the Unix epoch as a UTC time like 2026-12-03T18:00:00Z.
std::string formatTime(std::int64_t ms)
{
    const std::time_t seconds = ms / 1'000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::ostringstream text;
    text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

const char *stateName(v1::MoveState state)
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
    std::cout << move.name() << ": " << stateName(move.state()) << " since " << formatTime(move.state_since_ms()) << ", " << move.share_permille() / 10.0
              << "% of " << move.service() << " on " << move.to_version() << " (from " << move.from_version() << ", deadline " << formatTime(move.deadline_ms())
              << "): " << move.reason() << "\n";
}

ExitCode startMoveCommand(const Context &context)
{
    if (context.arguments.size() != 3 || context.options.count("deadline") == 0) {
        std::cerr << "cumindykectl: usage: cumindykectl move start SERVICE VERSION --deadline TIME\n";
        return ExitUsage;
    }
    const Result<std::int64_t> deadline = parseDeadline(context.options["deadline"].as<std::string>(), wallTimeMs());
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
    const Result<v1::CommandReply> reply = context.makeClient().startMove(request);
    return ok(reply) ? printReply(valueOf(reply), context.format) : printError(errorOf(reply));
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
    const Result<v1::CommandReply> reply = context.makeClient().abortMove(request);
    return ok(reply) ? printReply(valueOf(reply), context.format) : printError(errorOf(reply));
}

ExitCode moveStatusCommand(const Context &context)
{
    const Result<v1::MovesReply> reply = context.makeClient().moves();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    v1::MovesReply selected;
    for (const v1::Move &move : valueOf(reply).moves()) {
        if (context.arguments.size() < 2 || context.arguments[1] == move.name() || context.arguments[1] == move.service()) {
            *selected.add_moves() = move;
        }
    }
    if (context.format == OutputFormat::Json) {
        printJson(selected);
        return ExitOk;
    }
    for (const v1::Move &move : selected.moves()) {
        printMove(move);
    }
    if (selected.moves().empty()) {
        std::cout << "no move\n";
    }
    return ExitOk;
}

}

ExitCode moveCommand(const Context &context)
{
    const std::string &action = context.arguments[0];
    if (action == "start") {
        return startMoveCommand(context);
    }
    if (action == "status") {
        return moveStatusCommand(context);
    }
    if (action == "abort") {
        return abortMoveCommand(context);
    }
    std::cerr << "cumindykectl: usage: cumindykectl move start|status|abort\n";
    return ExitUsage;
}

}

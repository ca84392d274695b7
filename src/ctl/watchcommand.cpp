#include "ctl/context.h"

#include <cxxopts.hpp>

#include <iostream>

namespace cumindyke
{

namespace
{

void printMove(const v1::Move &move)
{
    std::cout << "move " << move.name() << ": " << v1::MoveState_Name(move.state()) << ", " << move.share_permille() << " in a thousand on "
              << move.to_version() << (move.reason().empty() ? "" : ": " + move.reason()) << "\n";
}

void printEvent(const v1::Event &event, OutputFormat format)
{
    if (format == OutputFormat::Json) {
        printJson(event);
    } else if (event.has_applied()) {
        std::cout << describe(event.applied()) << "\n";
    } else if (event.has_move()) {
        printMove(event.move());
    }
    std::cout.flush();
}

}

/// Prints events until the stream ends or --count events are printed; a count of 0 is no limit.
ExitCode watchCommand(const Context &context)
{
    const auto maxEvents = context.options["count"].as<std::uint64_t>();
    std::uint64_t printed = 0;
    v1::WatchRequest request;
    request.set_after_revision(context.afterRevision());
    const Result<Done> result = context.makeClient().watch(request, [&](const v1::Event &event) {
        printEvent(event, context.format);
        return ++printed != maxEvents;
    });
    return ok(result) ? ExitOk : printError(errorOf(result));
}

}

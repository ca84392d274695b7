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

void printEvent(const v1::Event &event, OutputForm form)
{
    if (form == OutputForm::Json) {
        printJson(event);
    } else if (event.has_applied()) {
        std::cout << describe(event.applied()) << "\n";
    } else if (event.has_move()) {
        printMove(event.move());
    }
    std::cout.flush();
}

}

/// Prints events until the stream ends or --count is reached.
ExitCode watchCommand(const Context &context)
{
    const auto count = context.options["count"].as<std::uint64_t>();
    std::uint64_t seen = 0;
    v1::WatchRequest request;
    request.set_after_revision(context.after());
    const Result<Done> ended = context.client().watch(request, [&](const v1::Event &event) {
        printEvent(event, context.form);
        return ++seen != count;
    });
    return ok(ended) ? ExitOk : printError(errorOf(ended));
}

}

#include "ctl/context.h"

#include <iostream>

namespace cumindyke
{

namespace
{

ExitCode showEvacuations(const Context &context)
{
    const Result<v1::EvacuationsReply> reply = context.makeClient().evacuations();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    if (context.format == OutputFormat::Json) {
        printJson(valueOf(reply));
        return ExitOk;
    }
    for (const v1::Evacuation &evacuation : valueOf(reply).evacuations()) {
        std::cout << evacuation.data_centre() << (evacuation.active() ? " evacuated" : " in use") << " changed_at_ms " << evacuation.changed_at_ms() << "\n";
    }
    return ExitOk;
}

}

ExitCode evacuationCommand(const Context &context)
{
    if (context.arguments.empty()) {
        return showEvacuations(context);
    }
    const bool isOrder = context.arguments.size() == 2 && (context.arguments[0] == "start" || context.arguments[0] == "end");
    if (!isOrder) {
        std::cerr << "cumindykectl: usage: cumindykectl evacuation [start|end DATA-CENTRE]\n";
        return ExitUsage;
    }
    v1::EvacuateRequest request;
    request.set_data_centre(context.arguments[1]);
    request.set_end(context.arguments[0] == "end");
    const Result<v1::CommandReply> reply = context.makeClient().evacuate(request);
    return ok(reply) ? printReply(valueOf(reply), context.format) : printError(errorOf(reply));
}

}

#include "ctl/context.h"

#include <iostream>

namespace cumindyke
{

namespace
{

ExitCode showMembers(const Context &context)
{
    const Result<v1::MembersReply> reply = context.makeClient().members();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    if (context.format == OutputFormat::Json) {
        printJson(valueOf(reply));
        return ExitOk;
    }
    for (const v1::Member &member : valueOf(reply).members()) {
        std::cout << member.vm() << " in " << (member.data_centre().empty() ? "(unknown)" : member.data_centre()) << " at " << member.peer_address()
                  << (member.replica() ? " replica" : "") << (member.learner() ? " learner" : "") << (member.leader() ? " leader" : "")
                  << (member.live() ? " live" : " lost") << " revision " << member.revision() << "\n";
    }
    return ExitOk;
}

}

ExitCode membersCommand(const Context &context)
{
    if (context.arguments.empty()) {
        return showMembers(context);
    }
    v1::ChangeMembersRequest request;
    request.set_command_id(context.commandId());
    const std::string &action = context.arguments[0];
    if (context.arguments.size() != 2 || (action != "add-replica" && action != "remove-replica")) {
        std::cerr << "cumindykectl: usage: cumindykectl members [add-replica|remove-replica VM]\n";
        return ExitUsage;
    }
    if (action == "add-replica") {
        request.set_add_replica(context.arguments[1]);
    } else {
        request.set_remove_replica(context.arguments[1]);
    }
    const Result<v1::CommandReply> reply = context.makeClient().changeMembers(request);
    return ok(reply) ? printReply(valueOf(reply), context.format) : printError(errorOf(reply));
}

}

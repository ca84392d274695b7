#include "ctl/context.h"

#include "common/tomlreader.h"

#include <cstdio>
#include <fstream>
#include <iostream>

namespace cumindyke
{

namespace
{

/// Writes beside the file and renames, so that a full disk never leaves half a snapshot under the name.
bool writeWhole(const std::string &file, const std::string &bytes)
{
    const std::string part = file + ".part";
    std::ofstream out(part, std::ios::binary | std::ios::trunc);
    out << bytes;
    out.close();
    return out && std::rename(part.c_str(), file.c_str()) == 0;
}

ExitCode save(const Context &context, const std::string &file)
{
    const Result<v1::SaveSnapshotReply> reply = context.client().saveSnapshot();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    if (!writeWhole(file, valueOf(reply).snapshot())) {
        std::cerr << "cumindykectl: can't write " << file << ": check the folder, its permissions and the disk's space\n";
        return ExitFailed;
    }
    if (context.form == OutputForm::Json) {
        v1::SaveSnapshotReply summary;
        summary.set_revision(valueOf(reply).revision());
        printJson(summary);
    } else {
        std::cout << "saved revision " << valueOf(reply).revision() << "\n";
    }
    return ExitOk;
}

ExitCode restore(const Context &context, const std::string &file)
{
    const Result<std::string> bytes = readFile(file);
    if (!ok(bytes)) {
        return printError(errorOf(bytes));
    }
    v1::RestoreSnapshotRequest request;
    request.set_command_id(context.commandId());
    request.set_snapshot(valueOf(bytes));
    const Result<v1::CommandReply> reply = context.client().restoreSnapshot(request);
    return ok(reply) ? printReply(valueOf(reply), context.form) : printError(errorOf(reply));
}

}

ExitCode snapshotCommand(const Context &context)
{
    const std::string &action = context.arguments[0];
    if (action == "save") {
        return save(context, context.arguments[1]);
    }
    if (action == "restore") {
        return restore(context, context.arguments[1]);
    }
    std::cerr << "cumindykectl: usage: cumindykectl snapshot save|restore FILE\n";
    return ExitUsage;
}

}

#include "ctl/context.h"

#include "common/tomlreader.h"

#include <cstdio>
#include <fstream>
#include <iostream>

namespace cumindyke
{

namespace
{

/// Writes a temporary file in the same folder and renames it, so that a full disk never leaves a truncated snapshot under the final name.
bool writeAtomically(const std::string &file, const std::string &bytes)
{
    const std::string temporaryFile = file + ".part";
    std::ofstream stream(temporaryFile, std::ios::binary | std::ios::trunc);
    stream << bytes;
    stream.close();
    return stream && std::rename(temporaryFile.c_str(), file.c_str()) == 0;
}

ExitCode saveSnapshot(const Context &context, const std::string &file)
{
    const Result<v1::SaveSnapshotReply> reply = context.makeClient().saveSnapshot();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    if (!writeAtomically(file, valueOf(reply).snapshot())) {
        std::cerr << "cumindykectl: can't write " << file << ": check the folder, its permissions and the free disk space\n";
        return ExitFailed;
    }
    if (context.format == OutputFormat::Json) {
        v1::SaveSnapshotReply summary;
        summary.set_revision(valueOf(reply).revision());
        printJson(summary);
    } else {
        std::cout << "saved revision " << valueOf(reply).revision() << "\n";
    }
    return ExitOk;
}

ExitCode restoreSnapshot(const Context &context, const std::string &file)
{
    const Result<std::string> bytes = readFile(file);
    if (!ok(bytes)) {
        return printError(errorOf(bytes));
    }
    v1::RestoreSnapshotRequest request;
    request.set_command_id(context.commandId());
    request.set_snapshot(valueOf(bytes));
    const Result<v1::CommandReply> reply = context.makeClient().restoreSnapshot(request);
    return ok(reply) ? printReply(valueOf(reply), context.format) : printError(errorOf(reply));
}

}

ExitCode snapshotCommand(const Context &context)
{
    const std::string &action = context.arguments[0];
    if (action == "save") {
        return saveSnapshot(context, context.arguments[1]);
    }
    if (action == "restore") {
        return restoreSnapshot(context, context.arguments[1]);
    }
    std::cerr << "cumindykectl: usage: cumindykectl snapshot save|restore FILE\n";
    return ExitUsage;
}

}

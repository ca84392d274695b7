#pragma once

#include "common/result.h"
#include "ctl/commands.h"

#include "operator.pb.h"

#include <google/protobuf/message.h>

namespace cumindyke
{

enum class OutputForm { Text, Json };

/// Prints any message of the schema as JSON, with the schema's own field names.
void printJson(const google::protobuf::Message &message);
/// Prints why a call failed, and returns the exit code for its kind.
ExitCode printError(const Error &error);
/// Prints how a command ended, and returns its exit code.
ExitCode printReply(const v1::CommandReply &reply, OutputForm form);
/// One line for a change, for people.
std::string describe(const v1::HistoryEntry &entry);

}

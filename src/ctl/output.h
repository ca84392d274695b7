#pragma once

#include "common/result.h"
#include "ctl/commands.h"

#include "operator.pb.h"

#include <google/protobuf/message.h>

namespace cumindyke
{

enum class OutputFormat { Text, Json };

/// Prints a protobuf message as JSON with the field names of the schema.
void printJson(const google::protobuf::Message &message);
/// Prints why a call failed and returns the exit code for the kind of the error.
ExitCode printError(const Error &error);
/// Prints the outcome of a command and returns its exit code.
ExitCode printReply(const v1::CommandReply &reply, OutputFormat format);
/// Returns a readable description of an accepted command: a line with its revision and author, then one line for each change.
std::string describe(const v1::HistoryEntry &entry);

}

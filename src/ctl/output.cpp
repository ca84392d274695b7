#include "ctl/output.h"

#include "control/convert.h"

#include <google/protobuf/util/json_util.h>

#include <iostream>

namespace cumindyke
{

void printJson(const google::protobuf::Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string json;
    if (google::protobuf::util::MessageToJsonString(message, &json, options).ok()) {
        std::cout << json << "\n";
    }
}

ExitCode printError(const Error &error)
{
    std::cerr << "cumindykectl: " << toString(error.kind) << ": " << error.message << "\n";
    switch (error.kind) {
    case ErrorKind::Invalid:
    case ErrorKind::BadRequest:
        return ExitUsage;
    case ErrorKind::Conflict:
        return ExitConflict;
    case ErrorKind::Unavailable:
    case ErrorKind::OutcomeUnknown:
        return ExitUnavailable;
    default:
        return ExitFailed;
    }
}

std::string describe(const v1::HistoryEntry &entry)
{
    std::string text = "revision " + std::to_string(entry.revision()) + " by " + (entry.author().empty() ? "unknown" : entry.author()) + ":";
    for (const v1::Change &wireChange : entry.changes()) {
        const Result<Change> change = fromWire(wireChange);
        text += ok(change) ? "\n  " + describe(valueOf(change)) : "";
    }
    return text;
}

ExitCode printReply(const v1::CommandReply &reply, OutputFormat format)
{
    if (format == OutputFormat::Json) {
        printJson(reply);
    }
    const bool asText = format == OutputFormat::Text;
    switch (reply.outcome()) {
    case v1::CommandReply::ACCEPTED:
        if (asText) {
            std::cout << "accepted: revision " << reply.revision() << (reply.message().empty() ? "" : ": " + reply.message()) << "\n";
            for (const std::string &vm : reply.lapsed_vms()) {
                std::cout << "lapsed: " << vm << " is cut off and refuses new work until it has the revision\n";
            }
        }
        return ExitOk;
    case v1::CommandReply::CONFLICT:
        if (asText) {
            std::cerr << "conflict: " << reply.message() << "\n";
            for (const v1::HistoryEntry &entry : reply.winners()) {
                std::cerr << describe(entry) << "\n";
            }
        }
        return ExitConflict;
    case v1::CommandReply::INVALID:
        if (asText) {
            std::cerr << "invalid: " << reply.message() << "\n";
        }
        return ExitUsage;
    default:
        if (asText) {
            std::cerr << "not decided: " << reply.message() << ": run the same command again with the same --command-id\n";
        }
        return ExitUnavailable;
    }
}

}

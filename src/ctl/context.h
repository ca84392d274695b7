#pragma once

#include "ctl/client.h"
#include "ctl/output.h"

#include <string>
#include <vector>

namespace cxxopts
{
class ParseResult;
}

namespace cumindyke
{

/// The parsed command line, as passed to every subcommand.
struct Context
{
    const cxxopts::ParseResult &options;
    OutputFormat format;
    std::vector<std::string> arguments;

    /// Returns the files named by --cert, --key and --ca, or nothing when --cert is not given.
    std::optional<TlsFiles> tls() const;
    /// Returns a client for the daemon at --server.
    OperatorClient makeClient() const;
    /// Returns --author, or else $USER, or else an empty string.
    std::string author() const;
    /// Returns --command-id, which lets an operator resend a command safely, or else a new random id.
    std::string commandId() const;
    /// Returns the revision given by --after.
    std::uint64_t afterRevision() const;
};

// Subcommands that have source files of their own.
ExitCode watchCommand(const Context &context);
ExitCode membersCommand(const Context &context);
ExitCode suspectsCommand(const Context &context);
ExitCode evacuationCommand(const Context &context);
ExitCode snapshotCommand(const Context &context);
ExitCode moveCommand(const Context &context);
ExitCode reportCommand(const Context &context);

}

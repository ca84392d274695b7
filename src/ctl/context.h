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

/// What every subcommand is given.
struct Context
{
    const cxxopts::ParseResult &options;
    OutputForm form;
    std::vector<std::string> arguments;

    /// The files of --cert, --key and --ca.
    std::optional<TlsFiles> tls() const;
    OperatorClient client() const;
    std::string author() const;
    /// The operator's own id, for a resend, or a new one.
    std::string commandId() const;
    /// The revision of --after.
    std::uint64_t after() const;
};

// Subcommands with files of their own.
ExitCode watchCommand(const Context &context);
ExitCode membersCommand(const Context &context);
ExitCode snapshotCommand(const Context &context);
ExitCode moveCommand(const Context &context);
ExitCode reportCommand(const Context &context);

}

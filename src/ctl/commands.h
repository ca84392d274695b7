#pragma once

namespace cumindyke
{

/// Exit codes of cumindykectl; docs/OPERATIONS.md lists them.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailed = 1, ///< the daemon refused the call, or an operation failed
    ExitUsage = 2, ///< invalid arguments or declarations
    ExitConflict = 3, ///< another command was accepted first
    ExitUnavailable = 4, ///< not decided in time, or the daemon is unreachable: run the same command again
    ExitDifferent = 5, ///< "diff" found differences
};

/// Runs the command line of cumindykectl and returns its exit code.
int runCommandLine(int argc, char **argv);

}

#pragma once

namespace cumindyke
{

/// Exit codes of cumindykectl; docs/OPERATIONS.md lists them.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailed = 1, ///< the system refused or failed
    ExitUsage = 2, ///< wrong arguments or invalid declarations
    ExitConflict = 3, ///< another command won
    ExitUnavailable = 4, ///< nobody could decide: run the same command again
    ExitDifferent = 5, ///< "diff" found changes
};

/// Runs the command line of cumindykectl and returns its exit code.
int runCommandLine(int argc, char **argv);

}

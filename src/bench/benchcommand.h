#pragma once

#include <ostream>

namespace cumindyke
{

/// Runs the program cumindyke-bench. Returns the exit code: 0 for success, 1 for a failed run, 2 for wrong usage.
int runBenchCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

}

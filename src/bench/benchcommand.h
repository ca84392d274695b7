#pragma once

#include <ostream>

namespace cumindyke
{

/// The program cumindyke-bench. Returns the exit code: 0 well, 1 the run failed, 2 wrong usage.
int runBenchCommand(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

}

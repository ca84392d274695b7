#include "bench/benchcommand.h"

#include <iostream>

int main(int argc, char *argv[])
{
    return cumindyke::runBenchCommand(argc, argv, std::cout, std::cerr);
}

#include "ctl/commands.h"

int main(int argc, char **argv)
{
    return cumindyke::runCommandLine(argc, argv);
}

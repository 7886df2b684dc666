/** Entry point of the jackdawdoor program. */
#include "cli/commandline.h"

#include <iostream>

int main(int argc, char **argv)
{
    return jackdawdoor::cli::runCommandLine(argc, argv, {}, std::cout, std::cerr);
}

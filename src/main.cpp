/** Entry point of the jackdawdoor program. */
#include "cli/commandline.h"
#include "net/instancecore.h"

#include <iostream>

int main(int argc, char **argv)
{
    return jackdawdoor::cli::runCommandLine(argc, argv, jackdawdoor::net::makeInstanceCore, std::cout, std::cerr);
}

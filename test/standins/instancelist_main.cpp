/** Runs the instancelist stand-in as a program: instancelist [PORT]. Prints its name and port on stdout. */
#include "standins/instancelist.h"

#include <csignal>
#include <cstdlib>

using namespace jackdawdoor;

int main(int argc, char **argv)
{
    // Blocks the signals before any thread starts, so that only runStandin() receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    const standins::InstanceList standin(argc > 1 ? std::atoi(argv[1]) : 0);
    return standins::runStandin("instancelist", standin.server().port());
}

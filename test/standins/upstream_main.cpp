/** Runs the upstream stand-in as a program: upstream [PORT]. Prints its name and port on stdout. */
#include "standins/upstream.h"

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
    const standins::Upstream standin(argc > 1 ? std::atoi(argv[1]) : 0);
    return standins::runStandin("upstream", standin.server().port());
}

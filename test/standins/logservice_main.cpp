/** Runs the logservice stand-in as a program: logservice [PORT]. Prints its name and port on stdout. */
#include "standins/logservice.h"

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
    const standins::LogService standin(argc > 1 ? std::atoi(argv[1]) : 0);
    return standins::runStandin("logservice", standin.server().port());
}

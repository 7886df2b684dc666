#include "cli/servecommand.h"

#include "cli/commandline.h"
#include "telemetry/log.h"

#include <csignal>
#include <ctime>

namespace jackdawdoor::cli {

namespace {

constexpr long pollNanoseconds = 50L * 1000 * 1000;

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/** Waits for a stop signal for one poll interval; true when one arrived. */
bool signalArrived(const sigset_t &signals)
{
    const timespec wait{0, pollNanoseconds};
    return sigtimedwait(&signals, nullptr, &wait) > 0;
}

int runUntilStopped(net::Server &server, const sigset_t &signals)
{
    while (!signalArrived(signals)) {
    }
    telemetry::writeLog(telemetry::LogLevel::Info, "stop", "leaving placement and finishing the requests in progress");
    server.beginStop();
    while (!server.stopped()) {
        if (signalArrived(signals)) {
            telemetry::writeLog(telemetry::LogLevel::Warning, "stop", "a second signal ends the process with requests in progress");
            return Failed;
        }
    }
    telemetry::writeLog(telemetry::LogLevel::Info, "stop", "every request has ended");
    return Success;
}

} // namespace

int runServe(const std::string &settingsFile, const net::CoreFactory &makeCore, std::ostream &out, std::ostream &err)
{
    const auto settings = settings::readSettings(settingsFile);
    if (!settings.has_value()) {
        err << settings.error() << std::endl;
        return Usage;
    }
    if (!makeCore) {
        err << "this build has no decision core" << std::endl;
        return Failed;
    }
    // Blocked before any thread starts, so that only this thread receives them, in sigtimedwait().
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    telemetry::startLogging(settings.value().logLevel, settings.value().logFormat);
    net::Server server(settings.value());
    const auto started = server.start(makeCore);
    if (!started.has_value()) {
        err << started.error() << std::endl;
        return Failed;
    }
    out << "callers " << server.callers().text() << " operators " << server.operators().text() << " peers " << server.peers().text()
        << std::endl;
    return runUntilStopped(server, signals);
}

} // namespace jackdawdoor::cli

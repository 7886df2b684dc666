#include "cli/proxycommand.h"

#include "cli/commandline.h"
#include "platform/platformserver.h"
#include "platform/platformsettings.h"
#include "platform/storeclient.h"
#include "platform/upstreamheaders.h"
#include "telemetry/boundedlog.h"

#include <event2/event.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <memory>

#include <unistd.h>

namespace jackdawdoor::cli {

namespace {

/** Interval of the checks for changed settings; the file may change without a signal. */
constexpr Duration settingsPollInterval = std::chrono::seconds{2};

/** Runs an action in the event loop on a signal. */
class SignalWatch
{
public:
    SignalWatch(net::EventLoop &loop, int signal, std::function<void()> action)
        : m_action(std::move(action))
        , m_event(evsignal_new(loop.base(), signal, &SignalWatch::onSignal, this))
    {
        evsignal_add(m_event, nullptr);
    }

    ~SignalWatch()
    {
        event_free(m_event);
    }

    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    static void onSignal(int /*signal*/, short /*what*/, void *self)
    {
        static_cast<SignalWatch *>(self)->m_action();
    }

    std::function<void()> m_action;
    event *m_event;
};

/** Incarnations increase with the wall clock. When it was set back between two runs, the other instances report the previous
 * incarnation and this instance takes a later one. */
Incarnation newIncarnation()
{
    return static_cast<Incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

/** Components of a running proxy process. */
class ProxyProcess
{
public:
    ProxyProcess(std::string settingsFile, const proxy::ProxySettings &settings)
        : m_settingsFile(std::move(settingsFile))
        , m_settings(settings)
        , m_store(m_loop, settings.store)
        , m_gateway(m_loop, settings, platform::upstreamProtocol(), newIncarnation())
        , m_server(m_loop, m_gateway)
        , m_terminate(m_loop,
                      SIGTERM,
                      [this] {
                          stop();
                      })
        , m_interrupt(m_loop,
                      SIGINT,
                      [this] {
                          stop();
                      })
        , m_hangup(m_loop,
                   SIGHUP,
                   [this] {
                       readSettings(true);
                   })
        , m_settingsTimer(m_loop, [this] {
            readSettings(false);
            m_settingsTimer.set(settingsPollInterval);
        })
    {
    }

    Result<bool> start()
    {
        const auto listening = m_server.listen(m_settings);
        if (!listening.has_value()) {
            return listening.error();
        }
        m_settingsTimer.set(settingsPollInterval);
        return m_gateway.start(m_store.access([this](const char *call, bool succeeded) {
            m_gateway.metrics().countStoreCall(call, succeeded);
        }));
    }

    void run()
    {
        event_base_loop(m_loop.base(), EVLOOP_NO_EXIT_ON_EMPTY);
    }

private:
    void stop()
    {
        m_gateway.beginStop({[this] {
                                 m_server.closeIdle();
                             },
                             [this](TimePoint now) {
                                 return m_server.undeliveredAnswers(now);
                             },
                             [this] {
                                 event_base_loopbreak(m_loop.base());
                             }});
    }

    void readSettings(bool forced)
    {
        const auto settings = platform::readSettings(m_settingsFile);
        if (!settings.has_value()) {
            telemetry::writeLog(telemetry::LogLevel::Error, "reload", settings.error().message());
            return;
        }
        if (forced || settings.value() != m_settings) {
            m_settings = settings.value();
            m_store.setStore(m_settings.store);
            m_gateway.reload(m_settings);
        }
    }

    std::string m_settingsFile;
    proxy::ProxySettings m_settings;
    net::EventLoop m_loop;
    platform::StoreClient m_store;
    proxy::Gateway m_gateway;
    platform::PlatformServer m_server;
    SignalWatch m_terminate;
    SignalWatch m_interrupt;
    SignalWatch m_hangup;
    net::Timer m_settingsTimer;
};

} // namespace

int runProxy(const std::string &settingsFile, std::ostream &err)
{
    // SIGHUP must not terminate the process before its handler is installed; there is nothing to reload until then.
    std::signal(SIGHUP, SIG_IGN);
    const std::string path = settingsFile.empty() ? platform::settingsPath() : settingsFile;
    const auto settings = platform::readSettings(path);
    if (!settings.has_value()) {
        err << settings.error() << std::endl;
        return Usage;
    }
    telemetry::startBoundedLogging(telemetry::LogLevel::Info, telemetry::LogFormat::Json, STDOUT_FILENO);
    ProxyProcess process(path, settings.value());
    const auto started = process.start();
    if (!started.has_value()) {
        err << started.error() << std::endl;
        return Failed;
    }
    process.run();
    return Success;
}

} // namespace jackdawdoor::cli

/** Process of the built program under lowered limits, with a stand-in store and upstreams, for tests of its memory and descriptors. */
#pragma once

#include "standins/platformstore.h"
#include "standins/scriptedupstream.h"

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jackdawdoor::overload {

inline constexpr std::size_t megabyte = std::size_t{1024} * 1024;

/** Limits of the process. */
struct ProcessLimits {
    /** The process itself takes about 30 MB; the rest holds eight of the largest legal bodies. */
    std::size_t memoryMegabytes = 96;
    /** The platform reserves 200 of them for files. */
    int descriptors = 600;
    std::size_t maximumBodyBytes = 8 * megabyte;
};

/** Runs `jackdawdoor proxy` until destroyed. The upstreams answer each request; paths that end in "large" and "medium" get
 * bodies of 8 MB and 600 KB; "slow" is answered after 4 s. */
class ProxyProcess
{
public:
    /** Starts the process and waits until it answers an ordinary request; throws std::runtime_error if it does not. */
    explicit ProxyProcess(const ProcessLimits &limits = {});
    ~ProxyProcess();
    ProxyProcess(const ProxyProcess &) = delete;
    ProxyProcess &operator=(const ProxyProcess &) = delete;

    int callersPort() const;
    int directoryPort() const;

    /** False when the process has ended. */
    bool alive() const;

    /** Peak of the resident memory since the start of the process (VmHWM). */
    std::size_t peakMemoryBytes() const;

    /** Present resident memory (VmRSS). */
    std::size_t residentMemoryBytes() const;

    /** Highest number of open descriptors in any sample since the start. */
    int peakDescriptors() const;

    /** Waits until the peak memory has not grown for a second, since the process may still read what the crowd has sent. */
    void settle() const;

    /** Sends an upload of the usual size until one is answered, for at most 20 s; the last status, zero if none came.
     *
     * A refusal with 503 and a connection that closes without an answer are repeated.
     */
    int ordinaryRequest() const;

    /** Number of requests with a path of this ending that reached an upstream. */
    std::size_t received(const std::string &pathEnd);

private:
    struct Unstarted {
    };
    explicit ProxyProcess(Unstarted tag);
    void writeSettings(const ProcessLimits &limits, int basePort) const;
    void putConfiguration(std::size_t maximumBodyBytes);
    void start();
    void waitUntilServing(int readinessPort) const;
    std::size_t memoryField(const std::string &name) const;
    int countDescriptors() const;

    standins::PlatformStore m_store;
    std::vector<std::unique_ptr<standins::ScriptedUpstream>> m_upstreams;
    std::string m_folder; ///< settings and log
    int m_callersPort = 0;
    pid_t m_process = -1;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_peakDescriptors{0};
    std::thread m_sampler;
};

} // namespace jackdawdoor::overload

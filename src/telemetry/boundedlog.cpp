#include "telemetry/boundedlog.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/make_shared.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <mutex>
#include <string>

namespace jackdawdoor::telemetry {

namespace {

/** Holds the lines of about one second on the busiest instance. */
constexpr std::size_t maximumPendingBytes = std::size_t{256} * 1024;

/** Bounded buffer of log lines that are not yet written to the descriptor. */
class PendingLines
{
public:
    void open(int descriptor)
    {
        m_descriptor = descriptor;
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        if (m_bytes.size() + line.size() > maximumPendingBytes) {
            ++m_dropped;
            return;
        }
        m_bytes += line;
        m_bytes += '\n';
    }

    void flush()
    {
        const std::lock_guard lock(m_mutex);
        while (!m_bytes.empty()) {
            const ssize_t written = write(m_descriptor, m_bytes.data(), m_bytes.size());
            if (written <= 0) {
                return; // the rest is written by the next flush; lines that do not fit until then are dropped and counted
            }
            m_bytes.erase(0, static_cast<std::size_t>(written));
        }
    }

    std::uint64_t dropped() const
    {
        return m_dropped.load();
    }

private:
    std::mutex m_mutex;
    std::string m_bytes;
    std::atomic<std::uint64_t> m_dropped{0};
    int m_descriptor = STDOUT_FILENO;
};

PendingLines &pendingLines()
{
    static PendingLines lines;
    return lines;
}

using BackendBase = boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding>;

/** Boost.Log sink that appends to the buffer. */
class PendingLinesBackend : public BackendBase
{
public:
    void consume(const boost::log::record_view & /*record*/,
                 const string_type &line) // NOLINT(readability-convert-member-functions-to-static)
    {
        pendingLines().add(line);
    }
};

} // namespace

void startBoundedLogging(LogLevel level, LogFormat format, int descriptor)
{
    startLogging(level, format);
    pendingLines().open(descriptor);
    boost::log::core::get()->remove_all_sinks();
    const auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<PendingLinesBackend>>();
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

void flushLog()
{
    pendingLines().flush();
}

std::uint64_t droppedLines()
{
    return pendingLines().dropped();
}

} // namespace jackdawdoor::telemetry

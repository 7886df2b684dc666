#include "net/eventloop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <csignal>
#include <future>
#include <utility>

namespace jackdawdoor::net {

namespace {

void prepareLibevent()
{
    static std::once_flag once;
    std::call_once(once, [] {
        evthread_use_pthreads();
        // A write to a connection that the peer closed must fail with EPIPE instead of terminating the process.
        std::signal(SIGPIPE, SIG_IGN);
    });
}

event_base *newBase()
{
    prepareLibevent();
    return event_base_new();
}

} // namespace

TimePoint now()
{
    return TimePoint{std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

Mailbox::Mailbox(event *wake)
    : m_wake(wake)
{
}

void Mailbox::post(Message message)
{
    const std::lock_guard lock(m_mutex);
    if (m_wake == nullptr) {
        return;
    }
    m_queue.push_back(std::move(message));
    event_active(m_wake, EV_TIMEOUT, 0);
}

std::vector<Mailbox::Message> Mailbox::take()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_queue, {});
}

void Mailbox::close()
{
    std::vector<Message> dropped;
    const std::lock_guard lock(m_mutex);
    m_wake = nullptr;
    dropped.swap(m_queue);
}

EventLoop::EventLoop()
    : m_base(newBase())
    , m_wake(event_new(m_base, -1, EV_PERSIST, &EventLoop::onWake, this))
    , m_mailbox(std::make_shared<Mailbox>(m_wake))
{
    event_add(m_wake, nullptr);
}

EventLoop::~EventLoop()
{
    stop();
    m_kept.clear();
    m_mailbox->close();
    event_free(m_wake);
    event_base_free(m_base);
}

void EventLoop::start()
{
    m_started = true;
    m_thread = std::thread([this] {
        event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
    });
}

void EventLoop::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    post([this] {
        event_base_loopbreak(m_base);
    });
    m_thread.join();
    m_started = false;
}

void EventLoop::post(Message message)
{
    m_mailbox->post(std::move(message));
}

std::shared_ptr<Mailbox> EventLoop::mailbox() const
{
    return m_mailbox;
}

void EventLoop::call(const Message &message)
{
    if (!m_started || std::this_thread::get_id() == m_thread.get_id()) {
        message();
        return;
    }
    std::promise<void> done;
    post([&] {
        message();
        done.set_value();
    });
    done.get_future().wait();
}

void EventLoop::keep(std::shared_ptr<void> object)
{
    const void *key = object.get();
    m_kept.emplace(key, std::move(object));
}

void EventLoop::release(const void *object)
{
    m_kept.erase(object);
}

event_base *EventLoop::base() const
{
    return m_base;
}

void EventLoop::onWake(int /*descriptor*/, short /*what*/, void *loop)
{
    static_cast<EventLoop *>(loop)->runQueued();
}

void EventLoop::runQueued()
{
    for (const Message &message : m_mailbox->take()) {
        message();
    }
}

Timer::Timer(EventLoop &loop, std::function<void()> action)
    : m_action(std::move(action))
    , m_event(event_new(loop.base(), -1, 0, &Timer::onTimeout, this))
{
}

Timer::~Timer()
{
    event_free(m_event);
}

void Timer::set(Duration delay)
{
    const auto microseconds = std::max<Duration::rep>(delay.count(), 0);
    timeval value{};
    value.tv_sec = microseconds / std::micro::den;
    value.tv_usec = microseconds % std::micro::den;
    event_add(m_event, &value);
}

void Timer::cancel()
{
    event_del(m_event);
}

void Timer::onTimeout(int /*descriptor*/, short /*what*/, void *timer)
{
    // The action may destroy the timer, so a copy of the action is run.
    const auto action = static_cast<Timer *>(timer)->m_action;
    action();
}

} // namespace jackdawdoor::net

/** Event loop of one task: a thread with its own libevent base and a message queue.
 *
 * A task owns its sockets and state and touches them only on its own thread. Other tasks reach it by post().
 */
#pragma once

#include "base/time.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

struct event;
struct event_base;

namespace jackdawdoor::net {

/** Current time of the monotonic system clock, which the decision core uses. */
TimePoint now();

/** Message queue of an event loop. It may be used at any time, also after the loop was destroyed. */
class Mailbox
{
public:
    using Message = std::function<void()>;

    explicit Mailbox(event *wake);

    /** Queues a message, or drops it when the loop was destroyed. Callable from any thread. */
    void post(Message message);

    /** Removes and returns all queued messages. */
    std::vector<Message> take();

    /** Called when the loop is being destroyed; later messages are dropped. */
    void close();

private:
    std::mutex m_mutex;
    std::vector<Message> m_queue;
    event *m_wake;
};

/** Thread with an event base and a queue of messages. */
class EventLoop
{
public:
    using Message = Mailbox::Message;

    EventLoop();
    ~EventLoop(); ///< stops the thread
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Starts the thread. */
    void start();

    /** Ends the loop after the current message and joins the thread. Messages still queued are dropped. */
    void stop();

    /** Queues a message; it runs on the loop's thread, in the order of posting. Callable from any thread. */
    void post(Message message);

    /** The queue, for users that may outlive the loop. */
    std::shared_ptr<Mailbox> mailbox() const;

    /** Runs a message on the loop's thread and waits for it; runs it directly on that thread or when the loop is not started. */
    void call(const Message &message);

    /** Owns an object until release() or until the loop is destroyed. Call on the loop's thread only. */
    void keep(std::shared_ptr<void> object);

    /** Destroys an object that was passed to keep(). */
    void release(const void *object);

    /** The libevent base, for the task that owns the loop. */
    event_base *base() const;

private:
    static void onWake(int descriptor, short what, void *loop);
    void runQueued();

    event_base *m_base;
    event *m_wake;
    std::shared_ptr<Mailbox> m_mailbox;
    std::map<const void *, std::shared_ptr<void>> m_kept;
    std::thread m_thread;
    bool m_started = false;
};

/** Timer on an event loop; used on the loop's thread only. Destruction cancels it. */
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> action);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /** Runs the action once after the delay; replaces an earlier setting. */
    void set(Duration delay);

    void cancel();

private:
    static void onTimeout(int descriptor, short what, void *timer);

    std::function<void()> m_action;
    event *m_event;
};

} // namespace jackdawdoor::net

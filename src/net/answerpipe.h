/** Bounded channel that carries one answer from the task that receives it to the task that sends it on.
 *
 * The bound is the back-pressure: the producer stops reading from its connection while the channel is full, so that a
 * slow receiver costs a fixed amount of memory whatever the size of the answer.
 */
#pragma once

#include "net/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace jackdawdoor::net {

/** Channel for one answer. Both sides may use it from their own threads. */
class AnswerPipe
{
public:
    using Hook = std::function<void()>;

    /** Bytes that may wait in a channel. */
    static constexpr std::size_t defaultBound = std::size_t{128} * 1024;

    /** How far the answer has come. */
    enum class State {
        Open,
        Complete, ///< the whole answer was written
        Broken, ///< the answer will stay incomplete and must not look complete to its receiver
    };

    /** What the consumer takes at one time. */
    struct Taken {
        std::string bytes;
        State state = State::Open; ///< the state after these bytes
    };

    explicit AnswerPipe(std::size_t bound = defaultBound);

    /** Channel that holds a complete answer already; the bound does not apply. */
    static std::shared_ptr<AnswerPipe> completed(AnswerStart start, std::string body);

    /** Called, on the consumer's thread, when the producer may have room again. Set before the first write. */
    void setProducerHook(Hook hook);

    /** Called, on the producer's thread, when there is something new to take, and once at once. */
    void setConsumerHook(const Hook &hook);

    void start(AnswerStart start);

    /** Adds bytes of the body. False: the channel is full and the producer must wait for its hook. */
    bool write(std::string_view bytes);

    /** Ends the answer; later calls of the producer have no effect. */
    void finish(State state);

    /** The answer's head when it has arrived; the same one in each call. */
    std::optional<AnswerStart> head() const;

    /** Takes all waiting bytes. */
    Taken take();

    /** The consumer wants no more; what is written from now on is dropped. */
    void closeConsumer();

    /** True when there is room, or when the consumer has gone. */
    bool hasRoom() const;

    /** True after closeConsumer(). */
    bool consumerClosed() const;

private:
    const std::size_t m_bound;
    mutable std::mutex m_mutex;
    Hook m_producerHook;
    Hook m_consumerHook;
    std::optional<AnswerStart> m_head;
    std::string m_bytes;
    State m_state = State::Open;
    bool m_consumerClosed = false;
};

} // namespace jackdawdoor::net

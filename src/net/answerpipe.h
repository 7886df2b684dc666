/** Bounded buffer that carries one answer from the task that receives it to the task that relays it.
 *
 * The bound applies back-pressure: the producer stops reading from its connection while the buffer is full, so that a
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

/** Buffer between the producer and the consumer of one answer. Each side may use it from its own thread. */
class AnswerPipe
{
public:
    using Hook = std::function<void()>;

    /** Largest number of buffered bytes, unless the constructor sets another. */
    static constexpr std::size_t defaultBound = std::size_t{128} * 1024;

    /** Progress of the answer. */
    enum class State {
        Open,
        Complete, ///< the whole answer was written
        Broken, ///< the answer was truncated and must not look complete to its receiver
    };

    /** Result of one take(). */
    struct Chunk {
        std::string bytes;
        State state = State::Open; ///< the state after these bytes
    };

    explicit AnswerPipe(std::size_t bound = defaultBound);

    /** Pipe that already holds a complete answer; the bound does not apply. */
    static std::shared_ptr<AnswerPipe> completed(AnswerStart start, std::string body);

    /** Called on the consumer's thread when the producer may have room again. Set it before the first write. */
    void setProducerHook(Hook hook);

    /** Called on the producer's thread when there is something new to take, and once immediately. */
    void setConsumerHook(const Hook &hook);

    void start(AnswerStart start);

    /** Appends bytes of the body. Returns false when the buffer is full and the producer must wait for its hook. */
    bool write(std::string_view bytes);

    /** Ends the answer; later calls of the producer have no effect. */
    void finish(State state);

    /** The answer's head once it has arrived; each call returns the same one. */
    std::optional<AnswerStart> head() const;

    /** Removes and returns all buffered bytes. */
    Chunk take();

    /** Closes the consumer's side; later writes are discarded. */
    void closeConsumer();

    /** True when there is room, or when the consumer has closed its side. */
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

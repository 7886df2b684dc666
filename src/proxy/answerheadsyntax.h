/** Checks the bytes of answer heads against the grammar of RFC 9112.
 *
 * http-parser accepts heads that the grammar does not allow: a status of any number of digits, spaces in header names, lines
 * without a colon and folded lines. Peers that read such a head differently disagree on its headers or on where the answer
 * ends, so it is no answer at all. Bare line feeds are accepted as line ends.
 */
#pragma once

#include <cstddef>
#include <string_view>

namespace jackdawdoor::proxy {

/** Incremental check of one head after the other. */
class AnswerHeadSyntax
{
public:
    /** Expects the head of the next answer. */
    void reset();

    /** Checks the next bytes of the connection, up to the end of the head. Returns false once the head is malformed. */
    bool accept(std::string_view bytes);

private:
    enum class State {
        BeforeStatusLine,
        Version,
        Status,
        AfterStatus,
        Reason,
        LineStart,
        Name,
        Value,
        LineFeed, ///< expected after a carriage return
        LastLineFeed,
        Complete,
        Malformed,
    };

    State next(char character);
    State nextInStatusLine(char character);
    State nextInHeaders(char character);

    State m_state = State::BeforeStatusLine;
    std::size_t m_position = 0; ///< within the version or the status
    int m_status = 0;
};

} // namespace jackdawdoor::proxy

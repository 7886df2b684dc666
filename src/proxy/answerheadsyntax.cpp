#include "proxy/answerheadsyntax.h"

#include "net/httpmessage.h"

namespace jackdawdoor::proxy {

namespace {

/** "x" stands for any digit. */
constexpr std::string_view versionForm = "HTTP/1.x ";
constexpr std::size_t statusDigits = 3;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool fits(char character, char form)
{
    return form == 'x' ? isDigit(character) : character == form;
}

bool isVisibleOrSpace(char character)
{
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= ' ' && byte != deleteCharacter);
}

} // namespace

void AnswerHeadSyntax::reset()
{
    *this = {};
}

bool AnswerHeadSyntax::accept(std::string_view bytes)
{
    for (const char character : bytes) {
        if (m_state == State::Complete || m_state == State::Malformed) {
            break;
        }
        m_state = next(character);
    }
    return m_state != State::Malformed;
}

AnswerHeadSyntax::State AnswerHeadSyntax::next(char character)
{
    switch (m_state) {
    case State::BeforeStatusLine:
    case State::Version:
    case State::Status:
    case State::AfterStatus:
        return nextInStatusLine(character);
    case State::LineFeed:
        return character == '\n' ? State::LineStart : State::Malformed;
    case State::LastLineFeed:
        return character == '\n' ? State::Complete : State::Malformed;
    default:
        return nextInHeaders(character);
    }
}

AnswerHeadSyntax::State AnswerHeadSyntax::nextInStatusLine(char character)
{
    if (m_state == State::BeforeStatusLine && (character == '\r' || character == '\n')) {
        return State::BeforeStatusLine; // an empty line before an answer belongs to no message
    }
    if (m_state == State::BeforeStatusLine || m_state == State::Version) {
        if (!fits(character, versionForm[m_position])) {
            return State::Malformed;
        }
        return ++m_position < versionForm.size() ? State::Version : State::Status;
    }
    if (m_state == State::Status) {
        if (!isDigit(character)) {
            return State::Malformed;
        }
        m_status = m_status * 10 + (character - '0');
        return ++m_position < versionForm.size() + statusDigits ? State::Status : State::AfterStatus;
    }
    if (!net::isAnswerStatus(m_status)) {
        return State::Malformed;
    }
    switch (character) {
    case ' ':
        return State::Reason;
    case '\r':
        return State::LineFeed;
    case '\n':
        return State::LineStart;
    default:
        return State::Malformed;
    }
}

AnswerHeadSyntax::State AnswerHeadSyntax::nextInHeaders(char character)
{
    const bool inName = m_state == State::Name || m_state == State::LineStart;
    if (m_state == State::LineStart && character == '\n') {
        return State::Complete;
    }
    if (m_state == State::LineStart && character == '\r') {
        return State::LastLineFeed;
    }
    if (inName) {
        if (m_state == State::Name && character == ':') {
            return State::Value;
        }
        return net::isHeaderName({&character, 1}) ? State::Name : State::Malformed;
    }
    // A value or the reason phrase.
    if (character == '\r') {
        return State::LineFeed;
    }
    if (character == '\n') {
        return State::LineStart;
    }
    return isVisibleOrSpace(character) ? m_state : State::Malformed;
}

} // namespace jackdawdoor::proxy

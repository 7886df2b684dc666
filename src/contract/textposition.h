/** Line numbers for a parser that reads its input through iterators. */
#pragma once

#include <cstddef>
#include <iterator>
#include <string_view>

namespace jackdawdoor::contract {

/** A text with the position up to which it has been read. Must outlive its iterators. */
class TextPosition
{
public:
    /** Input iterator that records the position read so far. */
    class Iterator
    {
    public:
        using iterator_category = std::input_iterator_tag; // NOLINT(readability-identifier-naming): iterator traits
        using value_type = char; // NOLINT(readability-identifier-naming)
        using difference_type = std::ptrdiff_t; // NOLINT(readability-identifier-naming)
        using pointer = const char *; // NOLINT(readability-identifier-naming)
        using reference = const char &; // NOLINT(readability-identifier-naming)

        Iterator(TextPosition *position, std::size_t offset)
            : m_position(position)
            , m_offset(offset)
        {
        }

        reference operator*() const
        {
            return m_position->m_text[m_offset];
        }

        Iterator &operator++()
        {
            ++m_offset;
            m_position->m_read = m_offset;
            return *this;
        }

        Iterator operator++(int)
        {
            Iterator before = *this;
            ++*this;
            return before;
        }

        bool operator==(const Iterator &other) const
        {
            return m_offset == other.m_offset;
        }

    private:
        TextPosition *m_position;
        std::size_t m_offset;
    };

    explicit TextPosition(std::string_view text)
        : m_text(text)
    {
    }

    Iterator begin()
    {
        return {this, 0};
    }

    Iterator end()
    {
        return {this, m_text.size()};
    }

    /** Line of the last character read. A newline belongs to the line that it ends, so a number that is recognised only
     * by the newline after it is still reported on its own line.
     */
    int currentLine()
    {
        return lineAt(m_read == 0 ? 0 : m_read - 1);
    }

    /** Line of an offset. Offsets must not go down between calls: newlines are counted once. */
    int lineAt(std::size_t offset)
    {
        for (; m_counted < offset; ++m_counted) {
            m_line += m_text[m_counted] == '\n' ? 1 : 0;
        }
        return m_line;
    }

private:
    std::string_view m_text;
    std::size_t m_read = 0; ///< characters read so far
    std::size_t m_counted = 0; ///< characters whose newlines are in m_line
    int m_line = 1;
};

} // namespace jackdawdoor::contract

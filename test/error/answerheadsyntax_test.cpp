/** Grammar of answer heads, however the bytes are split. */
#include "proxy/answerheadsyntax.h"

#include <doctest/doctest.h>

#include <string>

using jackdawdoor::proxy::AnswerHeadSyntax;

namespace {

bool acceptsInOnePiece(const std::string &head)
{
    AnswerHeadSyntax syntax;
    return syntax.accept(head);
}

bool acceptsByteByByte(const std::string &head)
{
    AnswerHeadSyntax syntax;
    for (const char character : head) {
        if (!syntax.accept({&character, 1})) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("heads that RFC 9112 allows are accepted, and the body behind them is not looked at")
{
    for (const char *head : {"HTTP/1.1 200 OK\r\nX: 1\r\n\r\n",
                             "HTTP/1.0 200\r\n\r\n",
                             "HTTP/1.1 204 \r\nX:\r\nY:\t a \xe9 \r\n\r\n",
                             "\r\nHTTP/1.1 599 \xc3\xa9\r\n!#$%&'*+-.^_`|~9aZ: (x)\r\n\r\n",
                             "HTTP/1.1 100 Continue\nX: 1\n\nHTTP/0 \x01 body"}) {
        CAPTURE(head);
        CHECK(acceptsInOnePiece(head));
        CHECK(acceptsByteByByte(head));
    }
}

TEST_CASE("a malformed head is rejected before its end, in one piece and byte by byte")
{
    for (const char *head : {"HTTP/1.1 000 X\r\n",
                             "HTTP/1.1 101 X\r\n",
                             "HTTP/1.1 2000 X\r\n",
                             "HTTP/2.0 200 X\r\n",
                             "HTTP/1.1200 X\r\n",
                             "HTTP/1.1 200 X\x01\r\n",
                             "HTTP/1.1 200 X\rY",
                             "HTTP/1.1 200 X\r\n X: 1\r\n",
                             "HTTP/1.1 200 X\r\nX Y: 1\r\n",
                             "HTTP/1.1 200 X\r\nX\r\n",
                             "HTTP/1.1 200 X\r\n: 1\r\n",
                             "HTTP/1.1 200 X\r\nX: a\x7f\r\n",
                             "HTTP/1.1 200 X\r\nX: 1\r\n\rY",
                             "body of an earlier answer"}) {
        CAPTURE(head);
        CHECK_FALSE(acceptsInOnePiece(head));
        CHECK_FALSE(acceptsByteByByte(head));
    }
}

TEST_CASE("each head is checked anew")
{
    AnswerHeadSyntax syntax;
    CHECK(syntax.accept("HTTP/1.1 200 X\r\n\r\nbody"));
    syntax.reset();
    CHECK_FALSE(syntax.accept("HTTP/1.1 000 X\r\n"));
    CHECK_FALSE(syntax.accept("HTTP/1.1 200 X\r\n\r\n"));
}

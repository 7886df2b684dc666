/** A JSON value that knows the line on which it is given. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawdoor::contract {

struct DocumentMember;

/** One value of a document. Copies the text only: the reader decides what it means. */
struct DocumentNode {
    enum class Kind {
        Null,
        Boolean,
        Integer,
        Number,
        String,
        Array,
        Object,
    };

    Kind kind = Kind::Null;
    int line = 0; ///< counted from 1; of the opening bracket for arrays and objects
    bool boolean = false;
    std::int64_t integer = 0; ///< for integers
    double number = 0; ///< for integers and other numbers
    std::string text; ///< for strings
    std::vector<DocumentNode> elements; ///< for arrays
    std::vector<DocumentMember> members; ///< for objects; a repeated key is there as often as it is given
};

/** One key of an object with its value. */
struct DocumentMember {
    std::string key;
    int line = 0; ///< of the key
    DocumentNode value;
};

/** Kind of a value and a short form of scalars, for fault reasons: such as `the text "fast"` or `a list`. */
std::string describe(const DocumentNode &node);

} // namespace jackdawdoor::contract

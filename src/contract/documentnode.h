/** JSON value with its line number. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawdoor::contract {

struct DocumentMember;

/** One value of a document. Holds the syntax only; the readers interpret it. */
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
    std::vector<DocumentMember> members; ///< for objects; repeated keys are kept
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

/** Errors as values.
 *
 * An Error names the failed step and the peer involved, so that an operator can locate the problem. Functions that can
 * fail return Result<T>.
 */
#pragma once

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

#include <ostream>
#include <string>

namespace jackdawdoor {

/** Describes a failed operation. */
struct Error {
    std::string step; ///< failed operation, such as "read contract"
    std::string peer; ///< file, address or instance involved
    std::string reason; ///< explanation for the operator

    bool operator==(const Error &) const = default;

    /** One line for logs and terminals: "step: peer: reason". */
    std::string message() const
    {
        return step + ": " + peer + ": " + reason;
    }
};

inline std::ostream &operator<<(std::ostream &stream, const Error &error)
{
    return stream << error.message();
}

/** Either a value or an Error. Reading the value of a failed result terminates the program. */
template <typename Value>
using Result = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

} // namespace jackdawdoor

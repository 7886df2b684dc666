/** Records the explanation of each derived value.
 *
 * Derivation rules pass every value through derive(), so that the policy and its explanation can't differ.
 */
#pragma once

#include "base/time.h"
#include "contract/explanation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::contract {

/** Description of a derived value. */
struct DerivationRule {
    std::string name; ///< member of the policy
    std::string unit; ///< "ms" for durations
    std::string rule; ///< the rule and its reason
    std::vector<std::string> keyPaths; ///< keys from which the value is derived, the deciding one first
};

/** Records the derived values of one service or one operation. */
class DerivationScope
{
public:
    /** Explanations are appended to `explanations`, which must outlive the scope, as must the lines. */
    DerivationScope(std::string subject, std::string keyPath, const SourceLines &lines, std::vector<Explanation> &explanations);

    /** Key path of a key of the service or operation. */
    std::string key(const std::string &name) const;

    /** Key path of the service or operation itself, for values that are the same for all of them. */
    const std::string &keyPath() const
    {
        return m_keyPath;
    }

    /** Records the explanation of the value and returns the value. */
    template <typename Value>
    Value derive(const DerivationRule &rule, Value value)
    {
        record(rule, formatValue(value));
        return value;
    }

    static std::string formatValue(bool value);
    static std::string formatValue(int value);
    static std::string formatValue(std::uint64_t value);
    static std::string formatValue(double value);
    static std::string formatValue(Duration value); ///< in milliseconds
    static std::string formatValue(const std::optional<Duration> &value); ///< in milliseconds, or "none"

private:
    void record(const DerivationRule &rule, std::string value);

    std::string m_subject;
    std::string m_keyPath;
    const SourceLines &m_lines;
    std::vector<Explanation> &m_explanations;
};

} // namespace jackdawdoor::contract

#include "contract/documentreader.h"

#include "contract/documenthandler.h"
#include "contract/parsecontract.h"
#include "contract/textposition.h"
#include "contract/utf8.h"

#include <nlohmann/json.hpp>

#include <string>

namespace jackdawdoor::contract {

std::optional<DocumentNode> readDocument(std::string_view text, FaultList &faults)
{
    if (text.size() > maximumContractBytes) {
        faults.add("", 1, "the contract has " + std::to_string(text.size()) + " bytes", "at most 1 MiB");
        return std::nullopt;
    }
    TextPosition position(text);
    if (const auto invalid = firstInvalidUtf8(text)) {
        faults.add("", position.lineAt(*invalid), "a byte is not part of valid UTF-8", "text in UTF-8");
        return std::nullopt;
    }
    DocumentHandler handler(position, faults);
    constexpr bool strict = true; // only white space and comments may follow the document
    constexpr bool ignoreComments = true;
    const bool complete =
        nlohmann::json::sax_parse(position.begin(), position.end(), &handler, nlohmann::json::input_format_t::json, strict, ignoreComments);
    return complete ? std::optional<DocumentNode>(handler.takeDocument()) : std::nullopt;
}

} // namespace jackdawdoor::contract

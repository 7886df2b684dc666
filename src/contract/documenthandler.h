/** SAX handler of the JSON parser. */
#pragma once

#include "contract/documentnode.h"
#include "contract/faultlist.h"
#include "contract/textposition.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace jackdawdoor::contract {

/** Builds nodes from parser events and stops the parser when a limit is exceeded. The JSON library sets the event names. */
class DocumentHandler
{
public:
    DocumentHandler(TextPosition &position, FaultList &faults);

    // NOLINTBEGIN(readability-identifier-naming): names required by the parser
    bool null();
    bool boolean(bool value);
    bool number_integer(std::int64_t value);
    bool number_unsigned(std::uint64_t value);
    bool number_float(double value, const std::string &text);
    bool string(std::string &value);
    bool binary(nlohmann::json::binary_t &value);
    bool start_object(std::size_t size);
    bool key(std::string &value);
    bool end_object();
    bool start_array(std::size_t size);
    bool end_array();
    bool parse_error(std::size_t offset, const std::string &token, const nlohmann::json::exception &error);
    // NOLINTEND(readability-identifier-naming)

    /** The document, after the parser has accepted the whole text. */
    DocumentNode takeDocument();

private:
    // An array or object that has been opened but not closed.
    struct OpenContainer {
        DocumentNode node;
        std::string path;
        std::map<std::string, int> keyLines;
        std::string currentKey;
        int currentKeyLine = 0;
    };

    DocumentNode makeNode(DocumentNode::Kind kind);
    std::string currentPath() const;
    bool openContainer(DocumentNode::Kind kind);
    bool closeContainer();
    bool addNode(DocumentNode node);

    TextPosition &m_position;
    FaultList &m_faults;
    std::vector<OpenContainer> m_open;
    DocumentNode m_document;
    std::size_t m_values = 0;
};

} // namespace jackdawdoor::contract

#include "contract/documenthandler.h"

#include <limits>
#include <utility>

namespace jackdawdoor::contract {

namespace {

// The schema is 7 levels deep; the limit keeps the recursion that frees a document short.
constexpr std::size_t maximumDepth = 16;

// A contract of the largest accepted size has fewer; the limit keeps a text of empty lists from using much memory.
constexpr std::size_t maximumValues = 100'000;

// The parser's messages repeat the text that it could not read, which may be as long as the document.
constexpr std::size_t printedMessageBytes = 200;

// Removes the prefix "[json.exception.parse_error.101] parse error at line 3, column 5: " of the parser's message; the fault
// has the line already.
std::string syntaxReason(const std::string &message)
{
    const auto separator = message.find(": ");
    return separator == std::string::npos ? message : message.substr(separator + 2);
}

} // namespace

DocumentHandler::DocumentHandler(TextPosition &position, FaultList &faults)
    : m_position(position)
    , m_faults(faults)
{
}

bool DocumentHandler::null()
{
    return addNode(makeNode(DocumentNode::Kind::Null));
}

bool DocumentHandler::boolean(bool value)
{
    DocumentNode node = makeNode(DocumentNode::Kind::Boolean);
    node.boolean = value;
    return addNode(std::move(node));
}

bool DocumentHandler::number_integer(std::int64_t value)
{
    DocumentNode node = makeNode(DocumentNode::Kind::Integer);
    node.integer = value;
    node.number = static_cast<double>(value);
    return addNode(std::move(node));
}

bool DocumentHandler::number_unsigned(std::uint64_t value)
{
    if (value <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        return number_integer(static_cast<std::int64_t>(value));
    }
    return number_float(static_cast<double>(value), {});
}

bool DocumentHandler::number_float(double value, const std::string & /*text*/)
{
    DocumentNode node = makeNode(DocumentNode::Kind::Number);
    node.number = value;
    return addNode(std::move(node));
}

bool DocumentHandler::string(std::string &value)
{
    DocumentNode node = makeNode(DocumentNode::Kind::String);
    node.text = std::move(value);
    return addNode(std::move(node));
}

bool DocumentHandler::binary(nlohmann::json::binary_t & /*value*/)
{
    return false; // JSON text has no binary values
}

bool DocumentHandler::start_object(std::size_t /*size*/)
{
    return openContainer(DocumentNode::Kind::Object);
}

bool DocumentHandler::key(std::string &value)
{
    OpenContainer &object = m_open.back();
    object.currentKey = std::move(value);
    object.currentKeyLine = m_position.currentLine();
    const auto [first, added] = object.keyLines.emplace(object.currentKey, object.currentKeyLine);
    if (!added) {
        m_faults.add(currentPath(),
                     object.currentKeyLine,
                     "the key is already given on line " + std::to_string(first->second),
                     "each key at most once");
    }
    return true;
}

bool DocumentHandler::end_object()
{
    return closeContainer();
}

bool DocumentHandler::start_array(std::size_t /*size*/)
{
    return openContainer(DocumentNode::Kind::Array);
}

bool DocumentHandler::end_array()
{
    return closeContainer();
}

bool DocumentHandler::parse_error(std::size_t /*offset*/, const std::string & /*token*/, const nlohmann::json::exception &error)
{
    m_faults.add(m_open.empty() ? std::string() : currentPath(),
                 m_position.currentLine(),
                 printable(syntaxReason(error.what()), printedMessageBytes),
                 "JSON with // and /* */ comments");
    return false;
}

DocumentNode DocumentHandler::takeDocument()
{
    return std::move(m_document);
}

DocumentNode DocumentHandler::makeNode(DocumentNode::Kind kind)
{
    DocumentNode node;
    node.kind = kind;
    node.line = m_position.currentLine();
    return node;
}

std::string DocumentHandler::currentPath() const
{
    if (m_open.empty()) {
        return {};
    }
    const OpenContainer &container = m_open.back();
    if (container.node.kind == DocumentNode::Kind::Array) {
        return joinIndex(container.path, container.node.elements.size());
    }
    return container.currentKey.empty() ? container.path : joinKey(container.path, container.currentKey);
}

bool DocumentHandler::openContainer(DocumentNode::Kind kind)
{
    if (m_open.size() == maximumDepth) {
        m_faults.add(currentPath(), m_position.currentLine(), "lists and objects are nested too deeply", "at most 16 levels");
        return false;
    }
    OpenContainer container;
    container.node = makeNode(kind);
    container.path = currentPath();
    m_open.push_back(std::move(container));
    return true;
}

bool DocumentHandler::closeContainer()
{
    DocumentNode node = std::move(m_open.back().node);
    m_open.pop_back();
    return addNode(std::move(node));
}

bool DocumentHandler::addNode(DocumentNode node)
{
    if (++m_values > maximumValues) {
        m_faults.add(currentPath(), node.line, "the contract has too many values", "at most 100,000 values");
        return false;
    }
    if (m_open.empty()) {
        m_document = std::move(node);
        return true;
    }
    OpenContainer &parent = m_open.back();
    if (parent.node.kind == DocumentNode::Kind::Array) {
        parent.node.elements.push_back(std::move(node));
    } else {
        parent.node.members.push_back({std::move(parent.currentKey), parent.currentKeyLine, std::move(node)});
        parent.currentKey.clear();
    }
    return true;
}

} // namespace jackdawdoor::contract

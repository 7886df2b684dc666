#include "routing/organisation.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::routing {

bool OrganisationTable::enabled() const
{
    return m_hash != nullptr;
}

const Organisation *OrganisationTable::find(std::string_view apiKey) const
{
    // A key longer than all known ones is not hashed, so that a caller cannot make a lookup expensive.
    if (!enabled() || apiKey.empty() || apiKey.size() > m_longestKey) {
        return nullptr;
    }
    const auto found = m_ownerByHash.find(m_hash(apiKey));
    return found == m_ownerByHash.end() ? nullptr : &m_organisations[found->second];
}

const std::vector<Organisation> &OrganisationTable::organisations() const
{
    return m_organisations;
}

const std::vector<SharedApiKey> &OrganisationTable::sharedKeys() const
{
    return m_sharedKeys;
}

OrganisationTable::Builder::Builder(ApiKeyHash hash)
    : m_hash(std::move(hash))
{
}

OrganisationTable::Builder &OrganisationTable::Builder::add(Organisation organisation, std::vector<std::string> apiKeys)
{
    m_entries.push_back({std::move(organisation), std::move(apiKeys)});
    return *this;
}

OrganisationTable OrganisationTable::Builder::build()
{
    std::stable_sort(m_entries.begin(), m_entries.end(), [](const Entry &first, const Entry &second) {
        return first.organisation.name < second.organisation.name;
    });
    OrganisationTable table;
    table.m_hash = m_hash;
    for (Entry &entry : m_entries) {
        if (table.m_organisations.empty() || table.m_organisations.back().name != entry.organisation.name) {
            table.m_organisations.push_back(std::move(entry.organisation));
        }
        const std::size_t index = table.m_organisations.size() - 1;
        for (const std::string &apiKey : entry.apiKeys) {
            if (apiKey.empty()) {
                continue;
            }
            table.m_longestKey = std::max(table.m_longestKey, apiKey.size());
            const auto [position, inserted] = table.m_ownerByHash.try_emplace(m_hash(apiKey), index);
            if (!inserted && position->second != index) {
                table.m_sharedKeys.push_back({table.m_organisations[position->second].name, table.m_organisations[index].name});
            }
        }
    }
    m_entries.clear();
    return table;
}

} // namespace jackdawdoor::routing

/** Organisations of callers and the lookup of an organisation by its API keys. */
#pragma once

#include "base/ids.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::routing {

using OrganisationId = Id<struct OrganisationTag>;

/** A group of callers with API keys and a quota. */
struct Organisation {
    OrganisationId name;
    std::optional<int> priority; ///< takes precedence over the route's; 0 is the highest
    double requestsPerSecond = 0; ///< quota over all instances; zero if unlimited
    double burst = 0; ///< requests above the rate that are admitted at once

    bool operator==(const Organisation &) const = default;
};

/** Keyed hash of an API key. The hash key must be secret and random: the lookup compares hashes, so its timing then tells
 * nothing about the configured keys, and no table holds a key in plain text. */
using ApiKeyHash = std::function<std::string(std::string_view apiKey)>;

/** An API key that two organisations have; it authenticates the first one. */
struct SharedApiKey {
    OrganisationId owner;
    OrganisationId other;

    bool operator==(const SharedApiKey &) const = default;
};

/** Immutable table of organisations. A table made by the default constructor is disabled: requests need no API key. */
class OrganisationTable
{
public:
    class Builder;

    OrganisationTable() = default;

    /** True if the configuration has organisations, even an empty list of them. */
    bool enabled() const;

    /** Returns the organisation that has the API key, or nullptr. The result is valid as long as the table. */
    const Organisation *find(std::string_view apiKey) const;

    /** Organisations in the order of their names. */
    const std::vector<Organisation> &organisations() const;

    /** API keys that more than one organisation has, without the keys, for a warning. */
    const std::vector<SharedApiKey> &sharedKeys() const;

private:
    std::vector<Organisation> m_organisations;
    absl::flat_hash_map<std::string, std::size_t> m_ownerByHash; ///< index in m_organisations
    std::vector<SharedApiKey> m_sharedKeys;
    ApiKeyHash m_hash;
    std::size_t m_longestKey = 0;
};

/** Collects the organisations of one configuration. */
class OrganisationTable::Builder
{
public:
    explicit Builder(ApiKeyHash hash);

    /** Adds an organisation. Of two with one name, the values of the first and the API keys of both are valid. Empty API keys
     * are ignored. */
    Builder &add(Organisation organisation, std::vector<std::string> apiKeys);

    /** Builds an enabled table. A key that two organisations have belongs to the one whose name is first in alphabetical
     * order, so that the result does not depend on the order of the document. */
    OrganisationTable build();

private:
    struct Entry {
        Organisation organisation;
        std::vector<std::string> apiKeys;
    };

    ApiKeyHash m_hash;
    std::vector<Entry> m_entries;
};

} // namespace jackdawdoor::routing

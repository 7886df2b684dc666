/** Strong identifier types.
 *
 * Identifiers of different kinds don't convert into each other. Each wraps a string that is unique within its kind: a service is
 * "customer/service" and an upstream is "customer/service/upstream".
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace jackdawdoor {

/** String identifier of the kind given by Tag. */
template <typename Tag>
struct Id {
    std::string value;

    bool operator==(const Id &) const = default;
    auto operator<=>(const Id &) const = default; // NOLINT(modernize-use-nullptr): false positive in generated code

    bool empty() const
    {
        return value.empty();
    }

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const Id &id)
    {
        return Hash::combine(std::move(state), id.value);
    }
};

template <typename Tag>
std::ostream &operator<<(std::ostream &stream, const Id<Tag> &id)
{
    return stream << id.value;
}

using InstanceId = Id<struct InstanceTag>;
using CustomerId = Id<struct CustomerTag>;
using ServiceId = Id<struct ServiceTag>;
using UpstreamId = Id<struct UpstreamTag>;
using DataCentreId = Id<struct DataCentreTag>;
using OperationId = Id<struct OperationTag>;

/** Incarnation number of an instance's process; it grows with each restart. */
using Incarnation = std::uint64_t;

/** An instance together with the incarnation of its process. */
struct InstanceRef {
    InstanceId id;
    Incarnation incarnation = 0;

    bool operator==(const InstanceRef &) const = default;
    auto operator<=>(const InstanceRef &) const = default; // NOLINT(modernize-use-nullptr): false positive in generated code
};

inline std::ostream &operator<<(std::ostream &stream, const InstanceRef &instance)
{
    return stream << instance.id << '#' << instance.incarnation;
}

/** Builds a service's identifier from its customer and its name in the contract. */
inline ServiceId makeServiceId(const CustomerId &customer, const std::string &service)
{
    return ServiceId{customer.value + "/" + service};
}

/** Returns the customer part of a service's identifier. */
inline CustomerId customerOf(const ServiceId &service)
{
    return CustomerId{service.value.substr(0, service.value.find('/'))};
}

/** Builds an upstream's identifier from its service and its name in the contract. */
inline UpstreamId makeUpstreamId(const ServiceId &service, const std::string &upstream)
{
    return UpstreamId{service.value + "/" + upstream};
}

/** Builds an operation's identifier from its service and its name in the contract. */
inline OperationId makeOperationId(const ServiceId &service, const std::string &operation)
{
    return OperationId{service.value + "/" + operation};
}

} // namespace jackdawdoor

template <typename Tag>
struct std::hash<jackdawdoor::Id<Tag>> {
    std::size_t operator()(const jackdawdoor::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

template <>
struct std::hash<jackdawdoor::InstanceRef> {
    std::size_t operator()(const jackdawdoor::InstanceRef &instance) const noexcept
    {
        return std::hash<jackdawdoor::InstanceId>{}(instance.id) ^ std::hash<jackdawdoor::Incarnation>{}(instance.incarnation);
    }
};

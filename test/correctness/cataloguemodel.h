/** Model of the store's log of upstreams, and of real replicas that read it through it, without a network.
 *
 * The writers follow the platform's rules: an upstream writes its entry when it starts, when its content changes, when its entry has
 * expired and after the store was restored. An entry expires when its upstream has ended, and at times while it lives.
 */
#pragma once

#include "fleet/fleetmessage.h"
#include "proxy/storereplica.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jackdawdoor::cataloguemodel {

/** One record of the log; without an entry, a removal. */
struct ModelRecord {
    UpstreamId id;
    std::optional<fleet::UpstreamEntry> entry;
};

using ModelLog = std::vector<ModelRecord>;

/** State of the log at one moment. */
struct ModelMoment {
    fleet::StoreHistoryNumber history = 1;
    std::uint64_t first = 0; ///< older records are deleted
    ModelLog log;

    /** Newest records that are not removals, by key, with their offsets. */
    std::map<UpstreamId, std::uint64_t> newest() const
    {
        std::map<UpstreamId, std::uint64_t> found;
        for (std::uint64_t offset = 0; offset < log.size(); ++offset) {
            if (log[offset].entry) {
                found[log[offset].id] = offset;
            } else {
                found.erase(log[offset].id);
            }
        }
        return found;
    }

    proxy::UpstreamChange change(std::uint64_t offset) const
    {
        const ModelRecord &record = log.at(offset);
        const fleet::StorePosition position{history, offset};
        proxy::UpstreamChange made{record.id, !record.entry, record.entry.value_or(fleet::UpstreamEntry{}), position};
        made.entry.position = position;
        return made;
    }
};

/** The store and the upstreams that write to it. */
class ModelStore
{
public:
    explicit ModelStore(int upstreams)
    {
        for (int index = 0; index < upstreams; ++index) {
            fleet::UpstreamEntry entry;
            entry.id = UpstreamId{"u" + std::to_string(index)};
            entry.service = ServiceId{"s"};
            entry.address = "127.0.0.1:" + std::to_string(index + 1);
            m_upstreams.push_back({entry});
        }
    }

    const ModelMoment &now() const
    {
        return m_now;
    }

    /** One random event of the upstreams or of the store. Returns true if the store was restored. */
    bool step(std::mt19937_64 &random)
    {
        Upstream &upstream = m_upstreams[random() % m_upstreams.size()];
        switch (random() % 8) {
        case 0:
            start(upstream);
            break;
        case 1:
            upstream.isAlive = false; // its entry expires later, or now
            if (random() % 2 == 0) {
                remove(upstream);
            }
            break;
        case 2:
            remove(upstream);
            break;
        case 3:
            m_now.first = random() % 8 == 0 ? m_now.log.size() : m_now.first;
            break;
        case 4:
            m_copy = random() % 2 == 0 ? m_now : m_copy;
            break;
        case 5:
            if (random() % 4 == 0) {
                restore();
                return true;
            }
            break;
        default:
            write(upstream, random);
        }
        return false;
    }

    /** Brings the store up to date with the upstreams. */
    void settle()
    {
        for (Upstream &upstream : m_upstreams) {
            if (!upstream.isAlive) {
                remove(upstream);
            } else if (upstream.mustWrite || !isPresent(upstream)) {
                append(upstream);
            }
        }
    }

private:
    struct Upstream {
        fleet::UpstreamEntry entry;
        bool isAlive = false;
        bool mustWrite = false; ///< the store was restored since its last record
    };

    bool isPresent(const Upstream &upstream) const
    {
        return m_now.newest().contains(upstream.entry.id);
    }

    void start(Upstream &upstream)
    {
        upstream.isAlive = true;
        ++upstream.entry.incarnation;
        upstream.entry.sequence = 0;
        append(upstream);
    }

    void write(Upstream &upstream, std::mt19937_64 &random)
    {
        if (!upstream.isAlive) {
            return;
        }
        // An expired entry may return with the number of the removed one; a present one is written with a higher number.
        if (isPresent(upstream) || random() % 2 == 0) {
            ++upstream.entry.sequence;
            upstream.entry.slots = 1 + static_cast<int>(random() % 3);
        }
        append(upstream);
    }

    void append(Upstream &upstream)
    {
        // Heartbeats have raised the number since the copy was made.
        upstream.entry.sequence += upstream.mustWrite ? 1 : 0;
        upstream.mustWrite = false;
        m_now.log.push_back({upstream.entry.id, upstream.entry});
    }

    void remove(const Upstream &upstream)
    {
        if (isPresent(upstream)) {
            m_now.log.push_back({upstream.entry.id, std::nullopt});
        }
    }

    void restore()
    {
        const fleet::StoreHistoryNumber next = m_now.history + 1;
        m_now = m_copy;
        m_now.history = next;
        m_copy.history = next;
        for (Upstream &upstream : m_upstreams) {
            upstream.mustWrite = true;
        }
    }

    ModelMoment m_now;
    ModelMoment m_copy;
    std::vector<Upstream> m_upstreams;
};

/** A real replica whose calls to the store the test answers. */
class ModelReplica
{
public:
    ModelReplica(net::EventLoop &loop, const ModelStore &store, const std::string &name)
        : m_store(store)
        , m_replica(loop, access(), InstanceId{name}, DataCentreId{"dc"}, hooks())
    {
    }

    proxy::StoreReplica &replica()
    {
        return m_replica;
    }

    /** Changes that this replica has shared, as datagrams. */
    std::vector<std::string> takeShared()
    {
        return std::exchange(m_shared, {});
    }

    /** Begins a read of the store unless one is in progress. */
    void tick(TimePoint now)
    {
        m_replica.tick(now, m_view);
    }

    bool reading() const
    {
        return m_answer != nullptr;
    }

    /** Answers the pending call as of its begin, as of now, or with pages of which some are as of its begin. */
    void answer(std::mt19937_64 &random)
    {
        const ModelMoment late = random() % 2 == 0 ? m_begin : m_store.now();
        const bool mixed = m_begin.history == m_store.now().history && random() % 2 == 0;
        respond(mixed ? m_begin : late, mixed ? m_store.now() : late, m_store.now().log.empty() ? 0 : random() % 8);
    }

    void answerNow()
    {
        respond(m_store.now(), m_store.now(), 0);
    }

    void fail()
    {
        std::exchange(m_answer, nullptr)(Error{"read", "store", "down"});
    }

private:
    void respond(const ModelMoment &earlier, const ModelMoment &later, std::uint64_t pivot)
    {
        proxy::UpstreamUpdate update;
        update.next = {later.history, std::min(earlier.log.size(), later.log.size())};
        update.complete = m_from.offset == 0 || m_from.offset < later.first || m_from.offset > later.log.size();
        if (update.complete) {
            const UpstreamId border{"u" + std::to_string(pivot)};
            for (const auto &[id, offset] : earlier.newest()) {
                if (id < border) {
                    update.changes.push_back(earlier.change(offset));
                }
            }
            for (const auto &[id, offset] : later.newest()) {
                if (!(id < border)) {
                    update.changes.push_back(later.change(offset));
                }
            }
        } else {
            update.next.offset = later.log.size();
            for (std::uint64_t offset = m_from.offset; offset < later.log.size(); ++offset) {
                update.changes.push_back(later.change(offset));
            }
        }
        std::exchange(m_answer, nullptr)(update);
    }

    proxy::StoreAccess access()
    {
        proxy::StoreAccess made;
        made.readUpstreams = [this](const fleet::StorePosition &from, const auto &done) {
            m_from = from;
            m_begin = m_store.now();
            m_answer = done;
        };
        made.readConfiguration = [](const auto &, Duration, const auto &) {};
        return made;
    }

    proxy::StoreReplicaHooks hooks()
    {
        proxy::StoreReplicaHooks made;
        made.onConfiguration = [](const auto &) {};
        made.onUpstreams = [] {};
        made.onRestored = [] {};
        made.onDelta = [this](const fleet::UpstreamDelta &delta) {
            m_shared.push_back(fleet::encodeDatagram({{InstanceId{"i"}, 1}, delta}));
        };
        return made;
    }

    const ModelStore &m_store;
    membership::MembershipView m_view;
    std::vector<std::string> m_shared;
    fleet::StorePosition m_from;
    ModelMoment m_begin;
    proxy::StoreAccess::Continuation<proxy::UpstreamUpdate> m_answer;
    proxy::StoreReplica m_replica;
};

} // namespace jackdawdoor::cataloguemodel

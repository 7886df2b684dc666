/** The key table of a witness incarnation.
 *
 * The witness guarantees for each key: once it has confirmed a record, it never answers "not run" for the key unless the
 * home has reported that outcome; once it has answered "not run" (closed), it never confirms a record. State is kept
 * per home incarnation. A restarted witness is another incarnation: messages for tickets that name the earlier one are
 * answered with Refused or NotResponsible, never with Recorded or Closed.
 *
 * Expiry is determined by the witness's own clock (IssuerClocks). When an entry is dropped, its ticket is past its
 * retention here: new records of it are refused and queries are answered with Unknown. Home and witness may therefore
 * drop a key at different times without a wrong answer: if the witness drops it first, the home cannot get a
 * confirmation and the witness does not answer "not run"; if the home drops it first, the home never dispatches it
 * again.
 *
 * A full table refuses records, which the home answers as not run, and answers Unknown instead of closing. Entries are
 * never dropped before their time.
 */
#pragma once

#include "base/outgoing.h"
#include "idempotency/idempotencymessage.h"
#include "idempotency/issuerclocks.h"
#include "idempotency/keylimits.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jackdawdoor::idempotency {

/** Key table of the witness incarnation `self`. */
class WitnessKeys
{
public:
    WitnessKeys(InstanceRef self, KeyLimits limits);

    /** Handles Record, Close, Query, OutcomeUpdate, HandoverChunk, HandoverComplete; ignores other messages.
     *
     * A Query addressed to this instance as home must go to HomeKeys instead; isWitnessOf() distinguishes them.
     */
    std::vector<Outgoing<IdempotencyMessage>> onMessage(TimePoint now, const InstanceRef &from, const IdempotencyMessage &message);

    /** Drops expired entries. */
    void onTick(TimePoint now);

    /** Whether this incarnation is the witness of the key. */
    bool isWitnessOf(const IdempotencyKey &key) const;

    /** Whether the home has handed over its whole table, so that this instance answers for it. */
    bool hasCompleteHandover(const InstanceRef &home) const;

    std::size_t size() const; ///< keys in the table
    std::size_t storedBytes() const; ///< total size of the bodies of stored answers

private:
    struct Entry {
        KeyOutcome outcome; ///< InProgress: recorded without an outcome yet
    };
    struct HomeRecords {
        std::unordered_map<std::string, Entry> entries;
        std::set<std::uint32_t> chunks; ///< received handover chunks
        bool complete = false;
        TimePoint dropAfter; ///< when an empty entry may be dropped
    };
    struct PendingDrop {
        InstanceRef home;
        const std::string *key; ///< points to the key in HomeRecords::entries
    };
    using Messages = std::vector<Outgoing<IdempotencyMessage>>;

    TimePoint advance(TimePoint now);
    HomeRecords *findOrAddHome(const InstanceRef &home);
    Entry *findEntry(const IdempotencyKey &key, const std::string &text);
    Entry *addEntry(const IdempotencyKey &key, const std::string &text, KeyOutcome outcome);
    void merge(Entry &entry, const KeyOutcome &outcome);
    IdempotencyMessage onRecord(const Record &message);
    IdempotencyMessage onClose(const Close &message);
    IdempotencyMessage onQuery(const Query &message);
    void storeOutcome(const IdempotencyKey &key, const KeyOutcome &outcome);
    Messages onChunk(const InstanceRef &from, const HandoverChunk &message);
    Messages onComplete(const InstanceRef &from, const HandoverComplete &message);

    InstanceRef m_self;
    KeyLimits m_limits;
    TimePoint m_now;
    IssuerClocks m_clocks;
    std::unordered_map<InstanceRef, HomeRecords> m_homes;
    std::multimap<TimePoint, PendingDrop> m_dropOrder;
    std::size_t m_size = 0;
    std::size_t m_storedBytes = 0;
};

} // namespace jackdawdoor::idempotency

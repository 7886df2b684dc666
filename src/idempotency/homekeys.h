/** The key table of a home incarnation: runs the work of each key at most once.
 *
 * Only the home incarnation named by a ticket dispatches keys of that ticket, and only after the ticket's witness has
 * recorded the key. State machine of a key:
 *
 *     absent -> Pending (record sent) -> Ready (confirmed) -> Running -> Completed | Unknown
 *                   |                      |  ^                 |
 *                   v                      v  |                 v
 *                Closed <---------------- Idle <---------- proven not run
 *
 * "Not run" is final. Once it has been answered for a key, the key is closed and never dispatched, because the caller
 * may already have retried under another key while a copy of the first request is still in transit. An attempt that
 * provably did not run can be retried at once (Ready), left for a resend (Idle, only while no answer was given), or
 * closed.
 *
 * For the same reason, keys refused while the table is full are kept in a filter of fixed size. Its false positives
 * close further keys, but only keys that were never admitted.
 *
 * After a pause of the process the table is still valid: no other instance may dispatch its keys, and the witness never
 * answers "not run" for a recorded key. resumeAfterPause() states what must be refused.
 */
#pragma once

#include "base/outgoing.h"
#include "idempotency/closedkeyfilter.h"
#include "idempotency/homeentry.h"
#include "idempotency/idempotencymessage.h"
#include "idempotency/issuerclocks.h"
#include "idempotency/keylimits.h"
#include "idempotency/tablehandover.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace jackdawdoor::idempotency {

/** The record was sent to the witness; the request waits for a KeyEvent of its key. */
struct AwaitWitness {
    bool operator==(const AwaitWitness &) const = default;
};

/** Another request with this key is waiting or running here; answer this one with the same result. */
struct JoinRunning {
    bool operator==(const JoinRunning &) const = default;
};

/** The request may be dispatched: call startDispatch() just before its attempt. */
struct DispatchPermitted {
    bool operator==(const DispatchPermitted &) const = default;
};

/** Answer with the stored outcome. */
struct AnswerStored {
    StoredAnswer answer;

    bool operator==(const AnswerStored &) const = default;
};

/** Refuse the request. */
struct RefuseKey {
    KeyRefusal reason = KeyRefusal::Closed;
    Certainty certainty = Certainty::Unknown;

    bool operator==(const RefuseKey &) const = default;
};

/** The request belongs to another instance: start an OutcomeResolver for it. */
struct ForwardToHome {
    InstanceRef home;

    bool operator==(const ForwardToHome &) const = default;
};

using Admission = std::variant<AwaitWitness, JoinRunning, DispatchPermitted, AnswerStored, RefuseKey, ForwardToHome>;

/** Decision for the requests that wait for a key: DispatchPermitted for the first one, or RefuseKey for all. */
struct KeyEvent {
    std::string key; ///< text of the key
    Admission decision;

    bool operator==(const KeyEvent &) const = default;
};

/** Messages to send and decisions for waiting requests. */
struct HomeStep {
    std::vector<Outgoing<IdempotencyMessage>> messages;
    std::vector<KeyEvent> events;
};

/** Answer to admit(). */
struct AdmitResult {
    Admission decision;
    std::vector<Outgoing<IdempotencyMessage>> messages;
};

/** What to do with a key whose attempt provably did not run. */
enum class NotRunAction {
    RetryNow, ///< the same request is retried: the key becomes Ready
    LeaveOpen, ///< no request waits for the key and no answer was given: it becomes Idle, and a resend may run it
    Close, ///< the caller gets the answer "not run"
};

/** Progress of a planned stop. */
enum class StopProgress {
    Running, ///< beginStop() was not called
    Draining, ///< admitted keys are still waiting or running
    HandingOver, ///< chunks or completions are not confirmed yet
    HandedOver, ///< all witnesses answer for this incarnation
    HandoverTimedOut, ///< a witness did not confirm in time; it answers from its own records only
};

/** Key table of the home incarnation `self`. */
class HomeKeys
{
public:
    HomeKeys(InstanceRef self, KeyLimits limits);

    /** Decides on a request with a key whose authenticator and service were checked. `fingerprint` is not 0. */
    AdmitResult admit(TimePoint now, const IdempotencyKey &key, std::uint64_t fingerprint);

    /** Moves a Ready key to Running. False: do not dispatch, since the key is closed or was dispatched before. */
    bool startDispatch(TimePoint now, const std::string &key);

    /** The attempt got its complete answer. Also accepted after recordUnknown(), for an answer that arrives late. */
    HomeStep recordCompleted(TimePoint now, const std::string &key, StoredAnswer answer);

    /** The attempt ended without proof that it did not run. */
    HomeStep recordUnknown(TimePoint now, const std::string &key);

    /** Closes a Ready key before its dispatch; its caller gets the answer "not run". */
    HomeStep cancelDispatch(TimePoint now, const std::string &key);

    /** The attempt of a Running key provably did not run, or a Ready key was not dispatched. */
    HomeStep recordNotRun(TimePoint now, const std::string &key, NotRunAction next);

    /** Answers an outcome query. A key that was not admitted or is Idle is closed, so that "not run" is certain. */
    KeyOutcome outcomeOf(TimePoint now, const IdempotencyKey &key);

    /** Handles Recorded, Refused, Updated, Query and HandoverConfirmed; ignores other messages. */
    HomeStep onMessage(TimePoint now, const InstanceRef &from, const IdempotencyMessage &message);

    /** Resends unacknowledged messages, refuses keys whose witness did not answer, removes expired keys, continues a stop. */
    HomeStep onTick(TimePoint now);

    /** Stops admission permanently. Keys that were admitted before run to completion. */
    HomeStep beginStop(TimePoint now);

    StopProgress stopProgress() const;

    /** To be called before anything else when the process detects that it was paused.
     *
     * Still valid: running attempts, stored outcomes, dispatched keys. Closed as not run: keys that wait for the witness
     * and Ready keys that were not dispatched, since their callers' deadlines and this instance's leases have probably
     * expired. Keys with an expired ticket are closed by startDispatch() in any case.
     */
    HomeStep resumeAfterPause(TimePoint now);

    std::size_t size() const; ///< keys in the table
    std::size_t storedBytes() const; ///< bodies of stored answers

private:
    using Table = std::unordered_map<std::string, HomeEntry>;

    void advanceTime(TimePoint now);
    HomeEntry *find(const std::string &key);
    HomeEntry &insert(const IdempotencyKey &key, const std::string &text, std::uint64_t fingerprint, KeyState state);
    Admission admitPresent(HomeEntry &entry, std::uint64_t fingerprint, TicketAge age, HomeStep &step);
    Admission admitAbsent(const IdempotencyKey &key, const std::string &text, std::uint64_t fingerprint, TicketAge age, HomeStep &step);
    void closeAbsent(const IdempotencyKey &key, const std::string &text);
    void setState(HomeEntry &entry, KeyState state);
    void close(HomeEntry &entry, KeyRefusal reason, HomeStep &step);
    void refuseWaiting(HomeEntry &entry, KeyRefusal reason, HomeStep &step);
    void sendRecord(HomeEntry &entry, HomeStep &step);
    void sendUpdate(HomeEntry &entry, HomeStep &step);
    void storeAnswer(HomeEntry &entry, StoredAnswer answer);
    void onRecorded(const InstanceRef &from, const Recorded &message, HomeStep &step);
    void onRefused(const InstanceRef &from, const Refused &message, HomeStep &step);
    void onUpdated(const InstanceRef &from, const Updated &message);
    void retryMessages(HomeStep &step);
    void removeExpired();
    void continueStop(HomeStep &step);
    std::vector<HandoverEntry> exportTable() const;

    InstanceRef m_self;
    KeyLimits m_limits;
    TimePoint m_now;
    IssuerClocks m_clocks;
    ClosedKeyFilter m_closedWhileFull;
    Table m_table;
    std::multimap<TimePoint, const std::string *> m_dropOrder; ///< pointers to the keys of m_table
    std::multimap<TimePoint, std::string> m_retries; ///< keys with an unacknowledged record or update
    std::size_t m_storedBytes = 0;
    std::size_t m_unfinished = 0; ///< keys that are Pending, Ready or Running
    bool m_stopping = false;
    std::optional<TableHandover> m_handover;
};

} // namespace jackdawdoor::idempotency

/** Why no upstream of a service may get a request, and until when. */
#pragma once

#include "fleet/upstreamchoice.h"

namespace jackdawdoor::fleet {

/** Collects it over the upstreams of one service, for one request. */
class Unavailability
{
public:
    /** anyUpstream: the service has upstreams. */
    explicit Unavailability(bool anyUpstream);

    /** Considers an upstream that does not leave, whether this request may use it or not. wait: until its announcements allow a
     * request. */
    void considerStaying(TimePoint now, const UpstreamRecord &record, Duration wait);

    /** Considers an upstream that this request must not use for so long, because of its announcements. */
    void considerAnnounced(Duration wait);

    /** Considers an upstream that this request must not use for so long, because it could not be reached. */
    void considerUnreachable(Duration wait);

    /** Sets the reason and the times. */
    void explain(UpstreamChoice &choice) const;

private:
    bool m_allLeaving;
    bool m_anyResting = false;
    bool m_anyAnnounced = false;
    bool m_anyUnreachable = false;
    Duration m_wait = Duration::max(); ///< until an upstream that this request may use allows it
    Duration m_retryAfter = Duration::max(); ///< until the announcements of any upstream of the service allow a request
};

} // namespace jackdawdoor::fleet

/** Headers of messages that libevent has parsed. */
#pragma once

#include "net/httpmessage.h"

struct evhttp_request;

namespace jackdawdoor::net {

/** Headers as received, duplicates included. */
Headers receivedHeaders(evhttp_request *request);

} // namespace jackdawdoor::net

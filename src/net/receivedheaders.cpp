#include "net/receivedheaders.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace jackdawdoor::net {

Headers receivedHeaders(evhttp_request *request)
{
    Headers headers;
    for (const evkeyval *entry = evhttp_request_get_input_headers(request)->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
        headers.push_back({entry->key, entry->value});
    }
    return headers;
}

} // namespace jackdawdoor::net

/** Interface of a task that receives requests and sends their answers. */
#pragma once

#include "core/callerrequest.h"
#include "net/answerpipe.h"
#include "net/httpmessage.h"

#include <sigc++/signal.h>

#include <functional>
#include <memory>

namespace jackdawdoor::net {

/** Generator of request identifiers, shared by all front ends of a process. Callable from any thread. */
using RequestIdSource = std::function<core::RequestId()>;

/** How a request ended at its front end. */
enum class RequestEnd {
    Answered, ///< the whole answer was handed to the operating system
    Broken, ///< the answer was truncated visibly to the caller
    CallerGone,
};

/** Task that receives requests. Signals are emitted on its own thread. */
class FrontEnd
{
public:
    virtual ~FrontEnd() = default;

    /** Sends the answer of a request; ignored when the caller has disconnected. Callable from any thread, once per request. */
    virtual void answer(core::RequestId request, std::shared_ptr<AnswerPipe> pipe) = 0;

    sigc::signal<void(core::RequestId, std::shared_ptr<const RequestContent>)> signalRequest;
    sigc::signal<void(core::RequestId, RequestEnd)> signalEnd; ///< exactly once after signalRequest
};

} // namespace jackdawdoor::net

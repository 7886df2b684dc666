/** A task that receives requests and is given their answers. */
#pragma once

#include "core/callerrequest.h"
#include "net/answerpipe.h"
#include "net/httpmessage.h"

#include <sigc++/signal.h>

#include <functional>
#include <memory>

namespace jackdawdoor::net {

/** Source of request numbers, shared by all front ends of a process. Callable from any thread. */
using RequestNumbers = std::function<core::RequestId()>;

/** How a request left its front end. */
enum class RequestEnd {
    Answered, ///< the whole answer was handed to the system
    Broken, ///< the answer was cut off and the caller was told so
    CallerGone,
};

/** Task that receives requests. Signals come on its own thread. */
class FrontEnd
{
public:
    virtual ~FrontEnd() = default;

    /** Gives the answer of a request; ignored when the caller has gone. Callable from any thread, once for a request. */
    virtual void answer(core::RequestId request, std::shared_ptr<AnswerPipe> pipe) = 0;

    sigc::signal<void(core::RequestId, std::shared_ptr<const RequestContent>)> signalRequest;
    sigc::signal<void(core::RequestId, RequestEnd)> signalEnd; ///< exactly once after signalRequest
};

} // namespace jackdawdoor::net

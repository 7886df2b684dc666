#include "net/httpfetch.h"

#include "net/receivedheaders.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <future>
#include <memory>
#include <utility>

namespace jackdawdoor::net {

namespace {

struct UriDeleter {
    void operator()(evhttp_uri *uri) const
    {
        evhttp_uri_free(uri);
    }
};

using Uri = std::unique_ptr<evhttp_uri, UriDeleter>;

constexpr std::size_t maximumHeaderBytes = std::size_t{64} * 1024;

/** State of one exchange, owned by the loop until it has ended. */
class Exchange
{
public:
    Exchange(EventLoop &loop, FetchRequest request, std::function<void(const Result<FetchAnswer> &)> onDone)
        : m_loop(loop)
        , m_request(std::move(request))
        , m_onDone(std::move(onDone))
        , m_timer(loop, [this] {
            finish(fault("no answer within the time limit"));
        })
    {
    }

    ~Exchange()
    {
        if (m_connection != nullptr) {
            evhttp_connection_free(m_connection);
        }
    }

    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void begin()
    {
        const Uri uri(evhttp_uri_parse(m_request.url.c_str()));
        const char *host = uri ? evhttp_uri_get_host(uri.get()) : nullptr;
        if (host == nullptr || *host == '\0') {
            finishLater(fault("the URL is malformed"));
            return;
        }
        const int port = evhttp_uri_get_port(uri.get());
        const auto realPort = static_cast<unsigned short>(port > 0 ? port : 80);
        m_connection = evhttp_connection_base_bufferevent_new(m_loop.base(), nullptr, nullptr, host, realPort);
        evhttp_connection_set_max_body_size(m_connection, static_cast<ev_ssize_t>(m_request.maximumAnswerBytes));
        evhttp_connection_set_max_headers_size(m_connection, maximumHeaderBytes);
        m_timer.set(m_request.timeout);
        send(uri.get(), std::string(host) + ":" + std::to_string(realPort));
    }

private:
    void send(const evhttp_uri *uri, const std::string &host)
    {
        evhttp_request *request = evhttp_request_new(&Exchange::onDone, this);
        evhttp_request_set_header_cb(request, &Exchange::onHeaders);
        evkeyvalq *headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", host.c_str());
        evhttp_add_header(headers, "Connection", "close");
        evhttp_add_header(headers, "Content-Length", std::to_string(m_request.body.size()).c_str());
        for (const Header &header : m_request.headers) {
            evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
        }
        evbuffer_add(evhttp_request_get_output_buffer(request), m_request.body.data(), m_request.body.size());
        const char *path = evhttp_uri_get_path(uri);
        const char *query = evhttp_uri_get_query(uri);
        std::string target = path == nullptr || *path == '\0' ? "/" : path;
        target += query == nullptr ? std::string{} : std::string("?") + query;
        const evhttp_cmd_type type = m_request.method == "POST"  ? EVHTTP_REQ_POST
                                     : m_request.method == "PUT" ? EVHTTP_REQ_PUT
                                                                 : EVHTTP_REQ_GET;
        if (evhttp_make_request(m_connection, request, type, target.c_str()) != 0) {
            finishLater(fault("the connection cannot be opened"));
        }
    }

    /** evhttp accepts header lines that are not valid HTTP, and would take them for others or for none. */
    static int onHeaders(evhttp_request *request, void * /*exchange*/)
    {
        return isAnswerStatus(evhttp_request_get_response_code(request)) && !framingFault(receivedHeaders(request)) ? 0 : -1;
    }

    static void onDone(evhttp_request *request, void *exchange)
    {
        auto *self = static_cast<Exchange *>(exchange);
        if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
            self->finishLater(self->fault("the connection was refused or closed without an answer"));
            return;
        }
        evbuffer *input = evhttp_request_get_input_buffer(request);
        FetchAnswer answer{evhttp_request_get_response_code(request), std::string(evbuffer_get_length(input), '\0')};
        evbuffer_remove(input, answer.body.data(), answer.body.size());
        self->finishLater(std::move(answer));
    }

    Error fault(const char *reason) const
    {
        return {"fetch", m_request.url, reason};
    }

    /** Finishes from the loop, since an evhttp connection must not be freed in its own callbacks. */
    void finishLater(Result<FetchAnswer> result)
    {
        m_timer.cancel();
        m_loop.post([this, result = std::move(result)] {
            finish(result);
        });
    }

    void finish(const Result<FetchAnswer> &result)
    {
        const auto hook = std::exchange(m_onDone, {});
        hook(result);
        m_loop.release(this);
    }

    EventLoop &m_loop;
    FetchRequest m_request;
    std::function<void(const Result<FetchAnswer> &)> m_onDone;
    Timer m_timer;
    evhttp_connection *m_connection = nullptr;
};

} // namespace

void fetch(EventLoop &loop, const FetchRequest &request, std::function<void(const Result<FetchAnswer> &)> onDone)
{
    const auto exchange = std::make_shared<Exchange>(loop, request, std::move(onDone));
    loop.keep(exchange);
    exchange->begin();
}

Result<FetchAnswer> fetchAndWait(const FetchRequest &request)
{
    EventLoop loop;
    loop.start();
    std::promise<Result<FetchAnswer>> promise;
    auto answer = promise.get_future();
    loop.post([&] {
        fetch(loop, request, [&](const Result<FetchAnswer> &result) {
            promise.set_value(result);
        });
    });
    return answer.get();
}

} // namespace jackdawdoor::net

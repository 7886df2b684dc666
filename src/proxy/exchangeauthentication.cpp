// Exchange: the organisation of the caller.
#include "proxy/exchange.h"

#include "routing/authentication.h"

#include <string_view>
#include <vector>

namespace jackdawdoor::proxy {

namespace {

constexpr int unauthorized = 401;

std::vector<std::string_view> authorizations(const net::Headers &headers)
{
    std::vector<std::string_view> values;
    for (const net::Header &header : headers) {
        if (net::equalsIgnoreCase(header.name, "Authorization")) {
            values.emplace_back(header.value);
        }
    }
    return values;
}

} // namespace

bool Exchange::authenticate(TimePoint now, std::string_view host, std::string_view path)
{
    if (!m_table->organisations().enabled()) {
        return true;
    }
    const routing::Route &ruling = routing::authenticationRoute(*m_table, route(), host, path);
    const routing::Authentication result = routing::authenticate(m_table->organisations(), ruling, authorizations(m_request.head.headers));
    m_organisation = result.organisation;
    if (result.verdict != routing::Authentication::Verdict::Rejected) {
        return true;
    }
    const char *reason = routing::rejectionName(result.rejection);
    m_context.metrics.countAuthenticationFailure(reason);
    net::Headers headers = ownHeaders();
    headers.push_back({"WWW-Authenticate", "Bearer"});
    m_caller.reply(unauthorized, headers, std::string(reason) + "\n");
    finish(now, unauthorized, reason);
    return false;
}

const routing::Organisation *Exchange::organisation() const
{
    return m_organisation;
}

int Exchange::priority() const
{
    return m_route == nullptr ? 0 : routing::effectivePriority(route(), m_organisation);
}

CallerIdentity Exchange::callerIdentity() const
{
    return {m_table->organisations().enabled(), m_organisation == nullptr ? std::string{} : m_organisation->name.value};
}

} // namespace jackdawdoor::proxy

/** HTTP status codes of answers that the core generates, and limits of status classes. */
#pragma once

namespace jackdawdoor::core::httpstatus {

inline constexpr int firstClientError = 400;
inline constexpr int badRequest = 400;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int firstServerError = 500;
inline constexpr int badGateway = 502;
inline constexpr int serviceUnavailable = 503;
inline constexpr int gatewayTimeout = 504;

} // namespace jackdawdoor::core::httpstatus

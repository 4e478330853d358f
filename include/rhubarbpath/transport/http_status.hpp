#pragma once

/// HTTP status codes that are sent or handled by this project, named as in RFC 9110.
namespace rhubarbpath::http_status {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int method_not_allowed = 405;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int precondition_failed = 412;
constexpr int body_too_large = 413;
constexpr int misdirected_request = 421;
constexpr int too_many_requests = 429;
constexpr int headers_too_large = 431;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

}  // namespace rhubarbpath::http_status

#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace jackdawrack {

/// A complete response of an upstream.
using UpstreamResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Misdirected Request: the upstream at the address is not the one that the
/// request was meant for.
inline constexpr unsigned kStatusMisdirected = 421;

/// Lowest status with which an upstream reports a failure of its own.
inline constexpr unsigned kFirstServerErrorStatus = 500;

/// True if the response states that the upstream did not execute the request;
/// `not_run_header` is the header field that states it.
[[nodiscard]] inline bool IsRefusal(const UpstreamResponse& response,
                                    const std::string& not_run_header) {
  return response.find(not_run_header) != response.end() ||
         response.result_int() == kStatusMisdirected;
}

}  // namespace jackdawrack

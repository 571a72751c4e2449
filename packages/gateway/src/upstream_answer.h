#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace jackdawrack {

/// A whole answer of an upstream.
using UpstreamAnswer =
    boost::beast::http::response<boost::beast::http::string_body>;

/// The upstream at the address is not the one that the request was meant for.
inline constexpr unsigned kStatusMisdirected = 421;

/// Least status by which an upstream says that it failed.
inline constexpr unsigned kFirstServerError = 500;

/// True if the upstream says that it did not run the request; `not_run_header`
/// is the field that says so.
[[nodiscard]] inline bool IsRefusal(const UpstreamAnswer& answer,
                                    const std::string& not_run_header) {
  return answer.find(not_run_header) != answer.end() ||
         answer.result_int() == kStatusMisdirected;
}

}  // namespace jackdawrack

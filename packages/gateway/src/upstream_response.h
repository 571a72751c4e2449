#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <utility>

#include "core/memory_budget.h"

namespace jackdawrack {

/// A complete response of an upstream, with the reservation of the memory that
/// its body uses.
class UpstreamResponse final
    : public boost::beast::http::response<boost::beast::http::string_body> {
 public:
  using Message = boost::beast::http::response<boost::beast::http::string_body>;

  UpstreamResponse(Message message, MemoryReservation memory)
      : Message(std::move(message)), m_memory(std::move(memory)) {}

 private:
  MemoryReservation m_memory;
};

/// Misdirected Request: the upstream at the address is not the one that the
/// request was meant for.
inline constexpr unsigned kStatusMisdirected = 421;

/// Lowest status with which an upstream reports a failure of its own.
inline constexpr unsigned kFirstServerErrorStatus = 500;

/// True for a status that tells a caller that its request has not run and never
/// will.
[[nodiscard]] inline bool PromisesNotRun(unsigned status) {
  constexpr unsigned kStatusRequestTimeout = 408;
  constexpr unsigned kStatusTooManyRequests = 429;
  constexpr unsigned kStatusUnavailable = 503;
  return status == kStatusRequestTimeout || status == kStatusMisdirected ||
         status == kStatusTooManyRequests || status == kStatusUnavailable;
}

/// True if the response states that the upstream did not execute the request;
/// `not_run_header` is the header field that states it.
[[nodiscard]] inline bool IsRefusal(const UpstreamResponse& response,
                                    const std::string& not_run_header) {
  return response.find(not_run_header) != response.end() ||
         response.result_int() == kStatusMisdirected;
}

}  // namespace jackdawrack

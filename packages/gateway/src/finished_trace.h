#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace jackdawrack {

/// One send of a finished request.
struct SendTrace {
  std::string m_upstream;
  std::string m_service;
  /// Why it was sent and how it ended, as in the log.
  std::string_view m_reason;
  std::string_view m_end;
  /// Status of the upstream's answer; 0 if there was none.
  unsigned m_status = 0;
  /// From the arrival of the request to the sending.
  Duration m_after{};
  Duration m_took{};
};

/// What became of one request, for the operators' question about it.
struct FinishedTrace {
  std::string m_request;
  std::string m_route;
  std::uint64_t m_version = 0;
  /// Status given to the caller; 0 if the caller had left.
  unsigned m_status = 0;
  Duration m_took{};
  /// Shards that the answer lacked.
  std::uint32_t m_missing = 0;
  std::vector<SendTrace> m_sends;

  /// The trace as JSON, in the form of the other roles' traces.
  [[nodiscard]] std::string ToJson() const;
};

}  // namespace jackdawrack

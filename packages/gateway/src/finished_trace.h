#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace jackdawrack {

/// One attempt of a finished request to get a response from an upstream.
struct AttemptTrace {
  std::string m_upstream;
  std::string m_service;
  /// Reason of the attempt, spelled as in the log.
  std::string_view m_reason;
  /// How the attempt ended, spelled as in the log.
  std::string_view m_outcome;
  /// HTTP status of the upstream's response; 0 if there was none.
  unsigned m_status = 0;
  /// Time from the arrival of the request to the start of the attempt.
  Duration m_sent_after{};
  /// Time from the start of the attempt to its end.
  Duration m_duration{};
};

/// Trace of one finished request, for the operators' explain endpoint.
struct FinishedTrace {
  std::string m_request_id;
  std::string m_route;
  /// Version of the routing configuration that the request used.
  std::uint64_t m_config_version = 0;
  /// HTTP status sent to the caller; 0 if the caller had disconnected.
  unsigned m_status = 0;
  /// Time from the arrival of the request to its end.
  Duration m_duration{};
  /// Number of shards missing from the response.
  std::uint32_t m_missing_shards = 0;
  std::vector<AttemptTrace> m_attempts;

  /// Returns the trace as JSON, in the format of the other roles' traces.
  [[nodiscard]] std::string ToJson() const;
};

}  // namespace jackdawrack

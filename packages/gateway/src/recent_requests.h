#pragma once

#include <deque>
#include <optional>
#include <string_view>

#include "finished_trace.h"

namespace jackdawrack {

/// Traces of the most recently logged requests, for the operators' explain
/// endpoint.
class RecentRequests final {
 public:
  /// Number of traces kept; the trace of a query over ten shards takes about
  /// 2 KB.
  static constexpr std::size_t kCapacity = 64;

  /// Adds a trace; beyond `kCapacity` traces the oldest one is removed.
  void Add(FinishedTrace trace);

  /// Returns the trace of a request, or null; valid until the next `Add`.
  [[nodiscard]] const FinishedTrace* Find(std::string_view request_id) const;

 private:
  std::deque<FinishedTrace> m_traces;
};

}  // namespace jackdawrack

#pragma once

#include <deque>
#include <optional>
#include <string_view>

#include "finished_trace.h"

namespace jackdawrack {

/// The requests that were logged last, for the operators' questions.
class RecentRequests final {
 public:
  /// Requests remembered; a query of ten shards takes about 2 KB.
  static constexpr std::size_t kKept = 64;

  /// Remembers a request and forgets the oldest beyond the bound.
  void Add(FinishedTrace trace);

  /// The trace of a request, or null; valid until the next one is added.
  [[nodiscard]] const FinishedTrace* Find(std::string_view request) const;

 private:
  std::deque<FinishedTrace> m_traces;
};

}  // namespace jackdawrack

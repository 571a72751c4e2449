#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

#include "core/ranked_mutex.h"
#include "entry/trace_step.h"

namespace jackdawrack {

/// How many finished requests are remembered.
struct TraceStoreSettings {
  /// The last requests of any kind.
  std::size_t m_recent = 1024;
  /// The last requests that were retried, restarted, hedged or not complete;
  /// they stay explicable when plain ones have been forgotten.
  std::size_t m_notable = 1024;
};

/// Remembers the traces of finished requests in two bounded rings.
///
/// Methods may be called from any thread.
class TraceStore final {
 public:
  explicit TraceStore(TraceStoreSettings settings) : m_settings(settings) {}

  /// Remembers a finished request; the oldest of its ring is forgotten.
  void Add(TraceRecord record, bool is_notable);

  /// The trace of a request, or nothing if it is not remembered.
  [[nodiscard]] std::optional<TraceRecord> Find(RequestId request) const;

 private:
  using Ring = std::deque<RequestId>;

  void Push(Ring& ring, std::size_t limit, RequestId request);

  const TraceStoreSettings m_settings;
  mutable RankedMutex m_mutex{LockRank::kTrace};
  Ring m_recent;
  Ring m_notable;
  std::unordered_map<RequestId, TraceRecord> m_records;
};

}  // namespace jackdawrack

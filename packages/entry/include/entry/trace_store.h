#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

#include "core/ranked_mutex.h"
#include "entry/trace_step.h"

namespace jackdawrack {

/// Capacities of the trace store, in finished requests.
struct TraceStoreSettings {
  /// Complete requests that needed no retry, restart or hedge.
  std::size_t m_ordinary = 1024;
  /// Requests that were retried, restarted, hedged or not complete. They have
  /// their own ring, so that ordinary requests do not evict them.
  std::size_t m_notable = 1024;
};

/// Stores the traces of finished requests in two bounded rings. Thread-safe.
class TraceStore final {
 public:
  explicit TraceStore(TraceStoreSettings settings) : m_settings(settings) {}

  /// Stores the trace of a finished request and evicts the oldest trace of its
  /// ring if the ring is full. Ignores a request id that is already stored.
  void Add(TraceRecord record, bool is_notable);

  /// Returns the trace of a request, or nothing if it is not stored.
  [[nodiscard]] std::optional<TraceRecord> Find(RequestId request) const;

 private:
  using Ring = std::deque<RequestId>;

  void PushAndEvict(Ring& ring, std::size_t limit, RequestId request);

  const TraceStoreSettings m_settings;
  mutable RankedMutex m_mutex{LockRank::kTrace};
  Ring m_ordinary;
  Ring m_notable;
  std::unordered_map<RequestId, TraceRecord> m_records;
};

}  // namespace jackdawrack

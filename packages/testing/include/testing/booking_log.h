#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "net/http_message.h"

namespace jackdawrack {

/// What a caller was told of a booking.
enum class BookingReply { kRan, kNotRun, kUnknown };

/// Reads a reply; no reply and what is not understood are unknown.
[[nodiscard]] BookingReply ReadBookingReply(const HttpReply& reply);

/// The reason that a reply gives, or its error's name.
[[nodiscard]] std::string BookingReason(const HttpReply& reply);

/// Executions by idempotency key.
using ExecutionCounts = std::map<std::string, std::uint64_t>;

/// The replies to each booking of a run. May be used from any thread.
class BookingLog final {
 public:
  /// `reason` is the reply's own; it is printed with a fault.
  void Record(const std::string& idempotency_key,
              BookingReply reply,
              const std::string& reason = {});

  /// Compares with the executions counted by the upstreams: none above one,
  /// none of a booking last answered "not run", one of each that ran.
  [[nodiscard]] std::optional<std::string> FindFault(
      const ExecutionCounts& executions) const;

  [[nodiscard]] std::size_t Count(BookingReply reply) const;

 private:
  struct Entry {
    BookingReply m_last = BookingReply::kUnknown;
    /// Every reply and its reason, in order.
    std::string m_history;
  };

  mutable std::mutex m_mutex;
  std::map<std::string, Entry> m_entries;
};

}  // namespace jackdawrack

#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jackdawrack {

/// Pending calls of one type, which are matched to their replies by number.
///
/// `Call` must have a member `m_number`; `Sink` receives the reply. Not
/// thread-safe.
template <typename Call, typename Sink>
class NumberedCalls final {
 public:
  /// Assigns the next number to the call and stores its sink.
  void Add(Call& call, Sink sink) {
    call.m_number = ++m_last_number;
    m_sinks.emplace(call.m_number, std::move(sink));
  }

  /// Queues a call until the connection is ready.
  void QueueUnsent(Call call) { m_unsent.push_back(std::move(call)); }

  /// Removes and returns the queued calls.
  [[nodiscard]] std::vector<Call> TakeUnsent() {
    return std::exchange(m_unsent, {});
  }

  /// Removes the call with this number and returns its sink. Returns
  /// `std::nullopt` if no such call is pending.
  [[nodiscard]] std::optional<Sink> Take(std::uint64_t number) {
    const auto found = m_sinks.find(number);
    if (found == m_sinks.end()) {
      return std::nullopt;
    }
    Sink sink = std::move(found->second);
    m_sinks.erase(found);
    return sink;
  }

  /// Removes all calls, queued ones included, and returns their sinks.
  [[nodiscard]] std::vector<Sink> TakeAll() {
    m_unsent.clear();
    std::vector<Sink> sinks;
    for (auto& [number, sink] : std::exchange(m_sinks, {})) {
      sinks.push_back(sink);
    }
    return sinks;
  }

  /// Number of pending calls.
  [[nodiscard]] std::size_t Size() const { return m_sinks.size(); }

 private:
  std::uint64_t m_last_number = 0;
  std::unordered_map<std::uint64_t, Sink> m_sinks;
  std::vector<Call> m_unsent;
};

}  // namespace jackdawrack

#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jackdawrack {

/// Calls of one kind that are matched to their replies by number.
///
/// `Call` has a member `m_number`; `Sink` takes the reply. Not safe for use by
/// two threads at a time.
template <typename Call, typename Sink>
class NumberedCalls final {
 public:
  /// Numbers the call and keeps its sink.
  void Add(Call& call, Sink sink) {
    call.m_number = ++m_last_number;
    m_sinks.emplace(call.m_number, std::move(sink));
  }

  /// Keeps a call that cannot be sent yet.
  void KeepUnsent(Call call) { m_unsent.push_back(std::move(call)); }

  /// Gives the calls that could not be sent yet, once.
  [[nodiscard]] std::vector<Call> TakeUnsent() {
    return std::exchange(m_unsent, {});
  }

  /// Gives the sink of the call of this number, once; nothing if the reply is
  /// late or was never asked for.
  [[nodiscard]] std::optional<Sink> Take(std::uint64_t number) {
    const auto found = m_sinks.find(number);
    if (found == m_sinks.end()) {
      return std::nullopt;
    }
    Sink sink = std::move(found->second);
    m_sinks.erase(found);
    return sink;
  }

  /// Gives the sinks of all waiting calls and forgets the calls.
  [[nodiscard]] std::vector<Sink> TakeAll() {
    m_unsent.clear();
    std::vector<Sink> sinks;
    for (auto& [number, sink] : std::exchange(m_sinks, {})) {
      sinks.push_back(sink);
    }
    return sinks;
  }

  [[nodiscard]] std::size_t Size() const { return m_sinks.size(); }

 private:
  std::uint64_t m_last_number = 0;
  std::unordered_map<std::uint64_t, Sink> m_sinks;
  std::vector<Call> m_unsent;
};

}  // namespace jackdawrack

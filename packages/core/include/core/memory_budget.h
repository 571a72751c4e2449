#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace jackdawrack {

/// Bound on the memory that several buffers use together. Not thread-safe.
class MemoryBudget final {
 public:
  explicit MemoryBudget(std::size_t limit_bytes)
      : m_usage(std::make_shared<Usage>(Usage{limit_bytes, 0})) {}

  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Bytes that are reserved.
  [[nodiscard]] std::size_t Used() const { return m_usage->m_used; }

 private:
  friend class MemoryReservation;

  struct Usage {
    std::size_t m_limit = 0;
    std::size_t m_used = 0;
  };

  /// Shared with the reservations, some of which end after the budget.
  const std::shared_ptr<Usage> m_usage;
};

/// A part of a `MemoryBudget`, which is returned on destruction.
class MemoryReservation final {
 public:
  explicit MemoryReservation(const MemoryBudget& budget)
      : m_usage(budget.m_usage) {}
  MemoryReservation(MemoryReservation&& other) noexcept
      : m_usage(other.m_usage), m_bytes(std::exchange(other.m_bytes, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    std::swap(m_usage, other.m_usage);
    std::swap(m_bytes, other.m_bytes);
    return *this;
  }
  ~MemoryReservation() { Release(); }

  /// Changes the size to `bytes`; false, with the size unchanged, if the budget
  /// has too little left.
  [[nodiscard]] bool Resize(std::size_t bytes) {
    const std::size_t others = m_usage->m_used - m_bytes;
    if (bytes > m_bytes && bytes > m_usage->m_limit - others) {
      return false;
    }
    m_usage->m_used = others + bytes;
    m_bytes = bytes;
    return true;
  }

  /// Returns all bytes to the budget.
  void Release() { (void)Resize(0); }

 private:
  std::shared_ptr<MemoryBudget::Usage> m_usage;
  std::size_t m_bytes = 0;
};

}  // namespace jackdawrack

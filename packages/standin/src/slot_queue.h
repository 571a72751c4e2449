#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>

#include "standin/replica_standin.h"

namespace jackdawrack {

/// The slots of a replica stand-in and the queue before them. Everything runs
/// on one strand.
class SlotQueue final {
 public:
  explicit SlotQueue(const boost::asio::any_io_executor& executor)
      : m_freed(executor, boost::asio::steady_timer::time_point::max()) {}

  /// Takes another capacity; requests that wait keep their places.
  void SetCapacity(const ReplicaCapacity& capacity) { m_capacity = capacity; }

  /// Waits for a slot; false at once if the queue is full.
  boost::asio::awaitable<bool> Take() {
    if (!HasSlot() && m_waiting >= m_capacity.m_queue) {
      co_return false;
    }
    ++m_waiting;
    while (!HasSlot()) {
      co_await m_freed.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    --m_waiting;
    ++m_running;
    co_return true;
  }

  /// Gives a slot back.
  void Release() {
    --m_running;
    m_freed.cancel_one();
  }

 private:
  [[nodiscard]] bool HasSlot() const {
    return m_capacity.m_slots == 0 || m_running < m_capacity.m_slots;
  }

  ReplicaCapacity m_capacity;
  std::size_t m_running = 0;
  std::size_t m_waiting = 0;
  boost::asio::steady_timer m_freed;
};

}  // namespace jackdawrack

#pragma once

#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "testing/booking_log.h"
#include "testing/test_fleet.h"

namespace jackdawrack {

/// What steady callers do.
struct SteadyCallersSettings {
  std::uint64_t m_seed = 1;
  std::size_t m_query_threads = 4;
  std::size_t m_booking_threads = 0;
  Milliseconds m_pause{2};
  /// Sends of one booking whose outcome stays unknown, each through an
  /// instance drawn anew; those after the first are marked as resends.
  int m_max_sends = 3;
};

/// Threads that query and book through instances drawn at random, from
/// construction to `Stop`, and check every reply.
class SteadyCallers final {
 public:
  SteadyCallers(TestFleet& fleet, SteadyCallersSettings settings);
  ~SteadyCallers();

  SteadyCallers(const SteadyCallers&) = delete;
  SteadyCallers& operator=(const SteadyCallers&) = delete;

  /// Ends the threads after their present call.
  void Stop();

  /// The first broken promise in a reply; empty if none. After `Stop` also of
  /// the bookings against the executions of the upstreams.
  [[nodiscard]] std::string FirstFault();

  [[nodiscard]] std::uint64_t Queries() const { return m_queries; }
  [[nodiscard]] std::uint64_t CompleteAnswers() const { return m_complete; }
  [[nodiscard]] const BookingLog& Bookings() const { return m_bookings; }

 private:
  using Random = std::mt19937_64;

  void RunQueries(std::size_t thread);
  void RunBookings(std::size_t thread);
  void BookOnce(Random& random);
  [[nodiscard]] std::string DrawInstance(Random& random) const;
  void Report(const std::string& fault);

  TestFleet& m_fleet;
  const SteadyCallersSettings m_settings;
  const std::vector<std::string> m_instances;
  std::atomic<bool> m_is_stopped{false};
  std::atomic<std::uint64_t> m_queries{0};
  std::atomic<std::uint64_t> m_complete{0};
  BookingLog m_bookings;
  std::mutex m_mutex;
  std::string m_first_fault;
  std::vector<std::thread> m_threads;
};

}  // namespace jackdawrack

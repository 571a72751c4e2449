#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "core/clock.h"
#include "testing/test_fleet.h"

namespace jackdawrack {

/// What became of one idempotency key, as its callers saw it.
struct BookingRecord {
  std::string m_key;
  /// Outcome of the last answer; empty if none came.
  std::string m_last_outcome;
  std::string m_last_reason;
  /// The first call of the key: where it went and its outcome.
  std::string m_first_instance;
  std::string m_first_outcome;
  TimePoint m_first_sent{};
  TimePoint m_answered{};
  /// True when two callers sent the key at once.
  bool m_is_doubled = false;
  std::uint64_t m_executions = 0;
};

/// What a check of the records found.
struct BookingVerdict {
  std::size_t m_keys = 0;
  std::size_t m_ran = 0;
  std::size_t m_not_run = 0;
  std::size_t m_unknown = 0;
  /// Keys with two executions or more.
  std::size_t m_double_runs = 0;
  /// Keys whose last answer is "not_run" and that have an execution.
  std::size_t m_false_refusals = 0;
  /// Keys whose last answer is "ran" and that have none.
  std::size_t m_false_runs = 0;
};

/// Callers that book with fresh keys through random instances and resend the
/// same key through another one until it ran, until they give up, or for good
/// measure after it ran.
class BookingLoad final {
 public:
  /// `seed` draws instances and resends. Calls of `fleet` that change it are
  /// made by the test's own thread.
  BookingLoad(TestFleet& fleet, std::uint32_t seed, std::size_t callers);
  ~BookingLoad();

  BookingLoad(const BookingLoad&) = delete;
  BookingLoad& operator=(const BookingLoad&) = delete;

  /// Stops the callers and counts the executions of every key.
  std::vector<BookingRecord> Stop();

 private:
  void RunCaller(std::uint32_t seed);
  BookingRecord BookOne(std::mt19937& random);

  TestFleet& m_fleet;
  const std::vector<std::string> m_instances;
  std::atomic<bool> m_stopping{false};
  std::mutex m_mutex;
  std::vector<BookingRecord> m_records;
  std::vector<std::thread> m_callers;
};

/// Holds the records against the promises.
[[nodiscard]] BookingVerdict CheckBookings(
    const std::vector<BookingRecord>& records);

/// Time from `fault` until the last booking was sent whose first call did not
/// run it; zero if there is none. Calls to `victim` and doubled keys, whose
/// second call is rightly told that the first one runs, are left out.
[[nodiscard]] Milliseconds RefusalTime(
    const std::vector<BookingRecord>& records,
    TimePoint fault,
    const std::string& victim);

}  // namespace jackdawrack

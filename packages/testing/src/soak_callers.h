#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "soak_instances.h"
#include "testing/raw_caller.h"

namespace jackdawrack {

/// Threads that keep connections to instances drawn at random and use them
/// until they end, also while their instance stops.
class SoakCallers final {
 public:
  SoakCallers(GatewayFleet& fleet,
              const SoakInstances& instances,
              std::size_t instance_count,
              std::size_t callers,
              std::uint64_t seed);
  ~SoakCallers();

  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /// Ends the threads after their present call.
  void Stop();

  /// How often each id ran.
  using Runs = std::unordered_map<std::string, std::size_t>;

  /// What was wrong.
  struct Findings {
    std::vector<std::string> m_faults;
    /// Requests without an answer in time that were not excused.
    std::size_t m_unanswered = 0;
  };

  /// Once stopped: checks all calls.
  [[nodiscard]] Findings Check(const Runs& runs) const;

  /// Counts of answers by status, and of calls that ended otherwise.
  [[nodiscard]] std::string Counts() const;

 private:
  using Random = std::mt19937_64;

  enum class Outcome : std::uint8_t {
    kAnswered,
    /// Answered, but late.
    kLate,
    /// No answer while the connection stayed open.
    kSilent,
    /// The connection ended.
    kClosed,
    /// The connection ended, which may happen before a request is read.
    kClosedUnread,
    /// Its instance was killed or suspended.
    kExcused,
    /// The caller went away.
    kAbandoned,
  };

  struct Call {
    std::string m_id;
    std::size_t m_instance = 0;
    bool m_is_once = false;
    int m_deadline_ms = 0;
    TimePoint m_sent;
    Milliseconds m_elapsed{0};
    Outcome m_outcome = Outcome::kAnswered;
    unsigned m_status = 0;
    std::string m_fault;
  };

  /// One connection of a caller.
  struct Connection {
    RawCaller m_caller;
    std::size_t m_instance = 0;
    TimePoint m_connected;
    /// True if the last answer announced the end.
    bool m_is_closing = false;
  };

  void Run(std::size_t thread, std::uint64_t seed);
  /// Calls until the connection ends or the caller has enough of it.
  void UseConnection(Random& random, std::size_t thread, std::size_t& number);
  /// False if the connection has ended.
  bool CallOnce(Random& random, Connection& connection, Call& call);
  [[nodiscard]] Outcome Judge(const Connection& connection,
                              const Call& call,
                              bool has_reply) const;
  [[nodiscard]] static bool IsUnanswered(const Call& call, std::size_t ran);
  [[nodiscard]] std::string Describe(const Call& call) const;

  GatewayFleet& m_fleet;
  const SoakInstances& m_instances;
  const std::size_t m_instance_count;
  const TimePoint m_begin;
  std::atomic<bool> m_is_stopped{false};
  mutable std::mutex m_mutex;
  std::vector<Call> m_calls;
  std::vector<std::thread> m_threads;
};

}  // namespace jackdawrack

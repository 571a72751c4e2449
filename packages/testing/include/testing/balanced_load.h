#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/test_fleet.h"

namespace jackdawrack {

/// How the calls of a load ended.
struct BalancedLoadResult {
  std::size_t m_calls = 0;
  std::size_t m_whole = 0;
  /// No connection could be made to an instance in rotation.
  std::size_t m_refused_connections = 0;
  /// The connection ended before the whole reply.
  std::size_t m_cut = 0;
  /// Answered, but not with the whole result.
  std::size_t m_not_served = 0;
  /// How often each kind of problem came.
  std::map<std::string, std::size_t> m_problems;
};

/// Clients behind a balancer that takes instances in and out of rotation by
/// their readiness. Half of the clients keep their connections open.
class BalancedLoad final {
 public:
  BalancedLoad(TestFleet& fleet, std::size_t clients);
  ~BalancedLoad();

  BalancedLoad(const BalancedLoad&) = delete;
  BalancedLoad& operator=(const BalancedLoad&) = delete;

  /// Stops the clients.
  BalancedLoadResult Stop();

 private:
  /// One call and where it goes.
  struct Target {
    std::string m_instance;
    Endpoint m_endpoint;
  };

  void RunBalancer();
  void RunClient(std::size_t number);
  [[nodiscard]] Target ChooseTarget(std::uint64_t turn);
  void Count(const std::string& call, const NetResult<HttpReply>& reply);

  TestFleet& m_fleet;
  std::atomic<bool> m_stopping{false};
  std::mutex m_mutex;
  std::vector<std::string> m_rotation;
  BalancedLoadResult m_result;
  std::vector<std::thread> m_threads;
};

}  // namespace jackdawrack

#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "testing/test_fleet.h"

namespace jackdawrack {

/// Polls the contract in force on every instance that says it is ready, and
/// notes the first time that one has an older version than before.
class ContractWatch final {
 public:
  explicit ContractWatch(TestFleet& fleet);
  ~ContractWatch();

  ContractWatch(const ContractWatch&) = delete;
  ContractWatch& operator=(const ContractWatch&) = delete;

  void Stop();

  /// The first reversal seen; empty if none.
  [[nodiscard]] std::string FirstFault() const;

 private:
  void Run();
  void Check(const std::string& instance);

  TestFleet& m_fleet;
  std::atomic<bool> m_is_stopped{false};
  std::map<std::string, std::uint64_t> m_greatest;
  mutable std::mutex m_mutex;
  std::string m_first_fault;
  std::thread m_thread;
};

}  // namespace jackdawrack

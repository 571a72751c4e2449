#pragma once

#include <random>
#include <string>

#include "testing/run_fault.h"
#include "testing/test_fleet.h"

namespace jackdawrack {

/// Brings faults into a proxied fleet and ends them, with draws from one seed.
class FaultDriver final {
 public:
  FaultDriver(TestFleet& fleet, std::uint64_t seed)
      : m_fleet(fleet), m_random(seed) {}

  /// Begins a fault on a target drawn at random; returns what was done.
  std::string Begin(RunFault fault);

  /// Ends every fault begun: links heal, processes run, the platform has the
  /// present state. An empty text, or what an ending process did wrong.
  std::string EndAll();

  /// Publishes the next version of the contract and returns it.
  std::uint64_t PublishNextContract();

 private:
  std::string BeginOnInstance(RunFault fault);
  std::string BeginOnLinks(RunFault fault);
  std::string BeginOnPlatform(RunFault fault);
  std::string BeginOnUpstreams(RunFault fault);

  std::string RestartGracefully(const std::string& instance);
  void RaceOperators();
  void PublishAll();
  void SetService(const std::string& domain, std::uint32_t service_ms);
  [[nodiscard]] std::string DrawInstance();
  [[nodiscard]] std::string DrawUpstream();
  [[nodiscard]] std::string DrawDomain();

  TestFleet& m_fleet;
  std::mt19937_64 m_random;
  std::uint64_t m_contract_version = 1;

  // What has to be undone
  std::vector<std::string> m_killed;
  std::vector<std::string> m_paused;
  bool m_platform_is_changed = false;
  std::string m_fault;
};

}  // namespace jackdawrack

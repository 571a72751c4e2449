#include <catch2/catch.hpp>

#include "testing/steady_callers.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kSeed = 403;
constexpr Milliseconds kRun{4000};

TEST_CASE("no caller gets another's answer with replies late and crossed") {
  TestFleetSettings settings;
  settings.m_name = "own-answer";
  settings.m_proxied = true;
  settings.m_proxy_seed = kSeed;
  TestFleet fleet(settings);
  fleet.Start();

  // Duplicate and cross the peers' replies; bring the upstreams' late
  FaultRule shuffled;
  shuffled.m_match.m_kind = "peer";
  shuffled.m_fault = ProxyFault::kShuffleFrames;
  shuffled.m_shuffled_per_mille = 200;
  FaultRule late;
  late.m_match.m_kind = "upstream";
  late.m_fault = ProxyFault::kDelay;
  late.m_jitter = Milliseconds(50);
  late.m_stalls_per_mille = 50;
  fleet.Proxy().Add({shuffled, late});

  SteadyCallersSettings many;
  many.m_seed = kSeed;
  many.m_query_threads = 12;
  many.m_booking_threads = 4;
  SteadyCallers callers(fleet, many);
  std::this_thread::sleep_for(kRun / 2);

  // Connections that are opened from now on are shuffled from the start
  fleet.SilencePeers();
  std::this_thread::sleep_for(kRun / 2);
  callers.Stop();
  REQUIRE(callers.FirstFault() == "");
  REQUIRE(callers.CompleteAnswers() > 100);
}

}  // namespace
}  // namespace jackdawrack

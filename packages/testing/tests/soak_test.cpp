#include <catch2/catch.hpp>

#include "testing/soak_run.h"

namespace jackdawrack {
namespace {

// Processes aborted on another writer's record, and what they had read was
// never answered.
TEST_CASE("instances outlive troubles of any kind and answer every request") {
  SoakSettings settings;
  settings.m_seed = 1;
  settings.m_length = Milliseconds(45'000);
  const SoakReport report = RunSoak(settings);
  INFO(report.m_text);
  REQUIRE(report.m_faults == 0);
}

}  // namespace
}  // namespace jackdawrack

#include <catch2/catch.hpp>

#include "testing/test_fleet.h"
#include "tool/uuid.h"

namespace jackdawrack {
namespace {

TEST_CASE("a query over all shards is answered whole from one version") {
  TestFleetSettings settings;
  settings.m_name = "whole-path";
  TestFleet fleet(settings);
  fleet.Start();
  for (const std::string& instance : fleet.InstanceNames()) {
    const HttpReply reply = fleet.Query(instance, "nonce-" + instance);
    INFO(reply.m_body);
    REQUIRE(reply.m_status == 200);
    const auto answer = ParseJsonObject(reply.m_body);
    REQUIRE(answer.has_value());
    REQUIRE(JsonText(*answer, "outcome") == "complete");
    REQUIRE(answer->at("rows").as_array().size() == settings.m_map.m_shards);
  }
}

TEST_CASE("a booking runs once and its resend gets the same outcome") {
  TestFleetSettings settings;
  settings.m_name = "booking";
  TestFleet fleet(settings);
  fleet.Start();
  const std::string key = MakeUuidV7(SteadyClock().WallNowMs());
  const HttpReply first = fleet.Book("east-1", "lens-1", key, "a");
  INFO(first.m_body);
  REQUIRE(first.m_status == 200);
  const HttpReply again = fleet.Book("south-1", "lens-1", key, "a");
  REQUIRE(again.m_status == 200);
  REQUIRE(fleet.Executions(key) == 1);
}

}  // namespace
}  // namespace jackdawrack

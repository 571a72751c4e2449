#include "routing/route_table.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

Route MakeRoute(std::string name, std::string host, std::string prefix) {
  Route route;
  route.m_name = std::move(name);
  route.m_host = std::move(host);
  route.m_prefix = std::move(prefix);
  return route;
}

RouteTable MakeTable() {
  RoutingConfig config;
  config.m_version = 7;
  config.m_routes = {MakeRoute("short", "a.example", "/x/"),
                     MakeRoute("long", "a.example", "/x/y/"),
                     MakeRoute("root", "b.example", "/")};
  config.m_services = {ServiceLimits{ServiceName("s"), 26}};
  return RouteTable(std::move(config));
}

TEST_CASE("the route with the longest matching prefix is selected") {
  const RouteTable table = MakeTable();
  REQUIRE(table.Find("a.example", "/x/1")->m_name == "short");
  REQUIRE(table.Find("a.example", "/x/y/1")->m_name == "long");
  REQUIRE(table.Find("a.example", "/x/y")->m_name == "short");
  REQUIRE(table.Find("b.example", "/anything")->m_name == "root");
  REQUIRE(table.Find("b.example", "/")->m_name == "root");
}

TEST_CASE("an unknown host or a path without a matching prefix has no route") {
  const RouteTable table = MakeTable();
  REQUIRE(table.Find("c.example", "/x/1") == nullptr);
  REQUIRE(table.Find("a.example", "/z/1") == nullptr);
  REQUIRE(table.Find("a.example", "/x") == nullptr);
  REQUIRE(table.Find("a.example", "") == nullptr);
}

TEST_CASE("the connection limit of an unknown service is 1") {
  const RouteTable table = MakeTable();
  REQUIRE(table.ConnectionLimit(ServiceName("s")) == 26);
  REQUIRE(table.ConnectionLimit(ServiceName("t")) == 1);
}

TEST_CASE("priorities are relative to routes that use the same services") {
  RoutingConfig config;
  Route sweep = MakeRoute("sweep", "a.example", "/sweep/");
  sweep.m_priority = 1;
  sweep.m_gather.m_shards = {ServiceName("s1"), ServiceName("s2")};
  Route check = MakeRoute("check", "a.example", "/check/");
  check.m_priority = 3;
  check.m_gather.m_shards = {ServiceName("s2"), ServiceName("s3")};
  Route fetch = MakeRoute("fetch", "a.example", "/fetch/");
  fetch.m_priority = 4;
  fetch.m_services = {WeightedService{ServiceName("t"), 1}};
  config.m_routes = {sweep, check, fetch};
  const RouteTable table(config);
  REQUIRE(table.RelativePriority(*table.Find("a.example", "/sweep/1")) == 0);
  REQUIRE(table.RelativePriority(*table.Find("a.example", "/check/1")) == 2);
  REQUIRE(table.RelativePriority(*table.Find("a.example", "/fetch/1")) == 0);
}

TEST_CASE("a host is found in any case, a path only in its own") {
  RoutingConfig config;
  config.m_routes = {MakeRoute("one", "App.Example", "/one/")};
  const RouteTable table(config);
  for (const char* host : {"app.example", "APP.EXAMPLE", "App.Example"}) {
    REQUIRE(table.Find(host, "/one/x") != nullptr);
    REQUIRE(table.Find(host, "/ONE/x") == nullptr);
  }
  REQUIRE(table.Find("app.examplf", "/one/x") == nullptr);
}

}  // namespace
}  // namespace jackdawrack

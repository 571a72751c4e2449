#include <catch2/catch.hpp>

#include "tool/burn_tracker.h"

namespace jackdawrack {
namespace {

const Customer kAcme("acme");

MetricsSnapshot Snapshot(int fast, int slow, int partial) {
  const std::string label = "{customer=\"acme\"} ";
  return MetricsSnapshot::Parse(
             "# TYPE jackdawrack_queries counter\njackdawrack_queries" + label +
             std::to_string(fast + slow) + "\njackdawrack_partial_queries" +
             label + std::to_string(partial) +
             "\njackdawrack_partial_by_reason{customer=\"acme\",reason="
             "\"timeout\"} " +
             std::to_string(partial) +
             "\njackdawrack_query_ms_bucket{customer=\"acme\",le=\"340\"} " +
             std::to_string(fast) +
             "\njackdawrack_query_ms_bucket{customer=\"acme\",le=\"+Inf\"} " +
             std::to_string(fast + slow) + "\njackdawrack_query_ms_count" +
             label + std::to_string(fast + slow) + "\n")
      .value();
}

TEST_CASE("metrics text is parsed, and what is not of the format refused") {
  const auto metrics = MetricsSnapshot::Parse(
      "# TYPE a counter\na{x=\"1\",y=\"p q\"} 3\na{x=\"2\"} 4\nb 5.5\n");
  REQUIRE(metrics.has_value());
  REQUIRE(metrics->Sum("a", {}) == 7);
  REQUIRE(metrics->Sum("a", {{"y", "p q"}}) == 3);
  REQUIRE(metrics->Sum("b", {}) == 5.5);
  REQUIRE(metrics->LabelValues("a", "x") == std::set<std::string>{"1", "2"});
  for (const char* bad :
       {"a", "a x", "a{x=1} 2", "a{x=\"1\" 2", "<html> 1 y"}) {
    INFO(bad);
    REQUIRE_FALSE(MetricsSnapshot::Parse(bad).has_value());
  }
}

TEST_CASE("burn rate and budget follow from the objective") {
  REQUIRE(BurnRate(0, 0, 0.99) == 0);
  REQUIRE(BurnRate(1, 100, 0.99) == Approx(1));
  REQUIRE(BurnRate(2, 100, 0.99) == Approx(2));
  REQUIRE(BudgetLeft(1, 200, 0.99) == Approx(0.5));
  REQUIRE(BudgetLeft(3, 100, 0.99) == Approx(-2));
}

TEST_CASE("a restart of an instance does not make counts negative") {
  BurnTracker tracker{BurnObjectives(BurnObjective()), 1};
  tracker.BeginSample();
  tracker.Add("a", Snapshot(100, 0, 0));
  tracker.Add("b", Snapshot(10, 0, 0));
  tracker.BeginSample();
  tracker.Add("a", Snapshot(5, 1, 1));
  tracker.Add("b", Snapshot(20, 0, 0));
  const BurnReport report = tracker.Report();
  REQUIRE(report.m_customers.size() == 1);
  const CustomerBurn& burn = report.m_customers.front();
  REQUIRE(burn.m_samples.size() == 1);
  REQUIRE(burn.m_samples.front().m_queries == 16);
  REQUIRE(burn.m_samples.front().m_slow == 1);
  REQUIRE(burn.m_windows.back().m_counts.m_queries == 126);
  REQUIRE(burn.m_windows.back().m_counts.m_causes.at("partial: timeout") == 1);
}

TEST_CASE("an instance read late adds nothing to the run's samples") {
  BurnTracker tracker{BurnObjectives(BurnObjective()), 1};
  tracker.BeginSample();
  tracker.Add("a", Snapshot(1, 0, 0));
  tracker.NotRead("b", "refused");
  tracker.BeginSample();
  tracker.Add("a", Snapshot(2, 0, 0));
  tracker.Add("b", Snapshot(500, 0, 0));
  const BurnReport report = tracker.Report();
  REQUIRE(report.m_customers.front().m_samples.front().m_queries == 1);
  REQUIRE(report.ToText().find("NOT READ: b in sample 1") != std::string::npos);
  REQUIRE(report.ToHtml().find("Not read: b in sample 1") != std::string::npos);
  REQUIRE(report.ToHtml().find("<script") == std::string::npos);
}

TEST_CASE("objectives are read by customer and name what is accepted") {
  BurnObjectives objectives{BurnObjective()};
  std::vector<IniProblem> problems;
  objectives.Read("o.ini", "[objective acme]\nlatency_ms = 5\n", problems);
  REQUIRE(problems.empty());
  REQUIRE(objectives.For(kAcme).m_latency_ms == 5);
  REQUIRE(objectives.For(Customer("other")) == BurnObjective());
  objectives.Read("o.ini", "[objective x]\nlatency = 5\n", problems);
  REQUIRE(problems.size() == 1);
}

}  // namespace
}  // namespace jackdawrack

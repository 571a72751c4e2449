#include "core/metrics.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

TEST_CASE("forgotten metrics are gone, others of a similar label stay") {
  MetricsRegistry metrics;
  metrics.CounterFor("requests_total", R"(route="a",status="200")").Add();
  metrics.CounterFor("requests_total", R"(route="ab",status="200")").Add();
  metrics.CounterFor("failed_total", R"(route="a")").Add();
  metrics.HistogramFor("request_ms", R"(route="a")").Record(Milliseconds(1));
  metrics.Forget(R"(route="a")");
  const std::string text = metrics.ToText();
  REQUIRE(text.find(R"(route="a")") == std::string::npos);
  REQUIRE(text.find(R"(requests_total{route="ab",status="200"} 1)") !=
          std::string::npos);
}

TEST_CASE("metrics of 100,000 routes that come and go leave nothing behind") {
  MetricsRegistry metrics;
  for (int route = 0; route < 100'000; ++route) {
    const std::string label = "route=\"r" + std::to_string(route) + "\"";
    metrics.CounterFor("requests_total", label).Add();
    metrics.HistogramFor("request_ms", label).Record(Milliseconds(1));
    metrics.Forget(label);
  }
  REQUIRE(metrics.ToText().empty());
}

}  // namespace
}  // namespace jackdawrack

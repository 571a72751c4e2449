#include "tool/load_statistics.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

/// Width of a bucket of the histogram.
constexpr double kBucketError = 0.016;

HttpReply ReplyOf(unsigned status, const std::string& body) {
  HttpReply reply;
  reply.m_status = status;
  reply.m_body = body;
  return reply;
}

TEST_CASE("quantiles and coverage count answered requests only") {
  LoadStatistics statistics;
  for (int ms = 1; ms <= 1000; ++ms) {
    statistics.Record(LoadReply{LoadOutcome::kComplete, 1}, Milliseconds(ms));
  }
  statistics.Record(LoadReply{LoadOutcome::kRefused, 0}, Milliseconds(9999));
  statistics.Record(LoadReply{LoadOutcome::kFailed, 0}, Milliseconds(9999));
  REQUIRE(statistics.Counts().m_sent == 1002);
  REQUIRE(statistics.Counts().CoverageShare() == 1);
  REQUIRE(statistics.Latency().m_p50_ms == Approx(500).epsilon(kBucketError));
  REQUIRE(statistics.Latency().m_p99_ms == Approx(990).epsilon(kBucketError));
  REQUIRE(statistics.Latency().m_p999_ms == Approx(999).epsilon(kBucketError));
  statistics.Record(LoadReply{LoadOutcome::kPartial, 0}, Milliseconds(1));
  REQUIRE(statistics.Counts().CoverageShare() == Approx(1000.0 / 1001));
}

TEST_CASE("replies are judged by what they say, not by their status") {
  const auto outcome = [](unsigned status, const char* body) {
    return JudgeReply(ReplyOf(status, body)).m_outcome;
  };
  REQUIRE(outcome(200, R"({"outcome":"complete"})") == LoadOutcome::kComplete);
  REQUIRE(outcome(200, R"({"outcome":"ran"})") == LoadOutcome::kComplete);
  REQUIRE(outcome(504, R"({"outcome":"partial"})") == LoadOutcome::kPartial);
  REQUIRE(outcome(429, R"({"executed":"no"})") == LoadOutcome::kRefused);
  REQUIRE(outcome(503, R"({"outcome":"not_run"})") == LoadOutcome::kRefused);
  REQUIRE(outcome(503, R"({"outcome":"unknown"})") == LoadOutcome::kFailed);
  REQUIRE(outcome(200, "no json") == LoadOutcome::kFailed);
  REQUIRE(JudgeReply(MakeError(NetErrc::kTimeout, "")).m_outcome ==
          LoadOutcome::kFailed);
}

}  // namespace
}  // namespace jackdawrack

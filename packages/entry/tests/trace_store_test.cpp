#include "entry/trace_store.h"

#include <catch2/catch.hpp>

#include "entry/request_trace.h"

namespace jackdawrack {
namespace {

TraceRecord RecordOf(std::uint64_t number) {
  TraceRecord record;
  record.m_request = RequestId{1, number};
  return record;
}

TEST_CASE("each trace ring evicts its own oldest trace") {
  TraceStoreSettings settings;
  settings.m_recent = 2;
  settings.m_notable = 1;
  TraceStore store(settings);
  store.Add(RecordOf(1), true);
  for (std::uint64_t number = 2; number <= 4; ++number) {
    store.Add(RecordOf(number), false);
  }
  REQUIRE(store.Find(RequestId{1, 1}).has_value());
  REQUIRE_FALSE(store.Find(RequestId{1, 2}).has_value());
  REQUIRE(store.Find(RequestId{1, 3}) == RecordOf(3));
  REQUIRE(store.Find(RequestId{1, 4}).has_value());
  store.Add(RecordOf(5), true);
  REQUIRE_FALSE(store.Find(RequestId{1, 1}).has_value());
}

TEST_CASE("a full request trace keeps times, counts and its final step") {
  ManualClock clock;
  Counter late;
  RequestTrace trace(RequestId{1, 2}, Customer("acme"), "look", clock.Now(),
                     clock.WallNowMs(), late);
  clock.Advance(Milliseconds(3));
  trace.Sent(InstanceId("east-1"), 4, clock.Now());
  trace.Retried(1, clock.Now());
  trace.Hedged(InstanceId("east-2"), 1, clock.Now());
  for (std::size_t i = 0; i < RequestTrace::kMaxSteps; ++i) {
    trace.Answered(InstanceId("east-1"), 1, MissReason::kNone, clock.Now());
  }
  trace.LateReply();
  trace.Finished(0, "complete", clock.Now());
  const TraceRecord& record = trace.Record();
  REQUIRE(record.m_steps.front().m_at_us == 3000);
  REQUIRE(record.m_steps.size() == RequestTrace::kMaxSteps + 1);
  REQUIRE(record.m_dropped_steps == 3);
  REQUIRE(record.m_steps.back().m_kind == TraceStepKind::kFinished);
  REQUIRE(trace.Counts() == TraceCounts{1, 0, 1});
  REQUIRE(late.Value() == 1);
}

}  // namespace
}  // namespace jackdawrack

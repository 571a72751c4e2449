#include "entry/trace_store.h"

#include <catch2/catch.hpp>

#include "entry/request_trace.h"

namespace jackdawrack {
namespace {

TraceRecord MakeRecord(std::uint64_t number) {
  TraceRecord record;
  record.m_request = RequestId{1, number};
  return record;
}

TEST_CASE("each trace ring evicts its own oldest trace") {
  TraceStoreSettings settings;
  settings.m_ordinary = 2;
  settings.m_notable = 1;
  TraceStore store(settings);
  store.Add(MakeRecord(1), true);
  for (std::uint64_t number = 2; number <= 4; ++number) {
    store.Add(MakeRecord(number), false);
  }
  REQUIRE(store.Find(RequestId{1, 1}).has_value());
  REQUIRE_FALSE(store.Find(RequestId{1, 2}).has_value());
  REQUIRE(store.Find(RequestId{1, 3}) == MakeRecord(3));
  REQUIRE(store.Find(RequestId{1, 4}).has_value());
  store.Add(MakeRecord(5), true);
  REQUIRE_FALSE(store.Find(RequestId{1, 1}).has_value());
}

TEST_CASE("a full request trace keeps times, counts and its final step") {
  ManualClock clock;
  Counter late_replies;
  RequestTrace trace(RequestId{1, 2}, Customer("acme"), "look", clock.Now(),
                     clock.WallNowMs(), late_replies);
  clock.Advance(Milliseconds(3));
  trace.RecordSend(InstanceId("east-1"), 4, clock.Now());
  trace.RecordRetry(1, clock.Now());
  trace.RecordHedge(InstanceId("east-2"), 1, clock.Now());
  for (std::size_t i = 0; i < RequestTrace::kMaxSteps; ++i) {
    trace.RecordAnswer(InstanceId("east-1"), 1, MissReason::kNone, clock.Now());
  }
  trace.CountLateReply();
  trace.RecordFinish(0, "complete", clock.Now());
  const TraceRecord& record = trace.Record();
  REQUIRE(record.m_steps.front().m_at_us == 3000);
  REQUIRE(record.m_steps.size() == RequestTrace::kMaxSteps + 1);
  REQUIRE(record.m_dropped_steps == 3);
  REQUIRE(record.m_steps.back().m_kind == TraceStepKind::kFinished);
  REQUIRE(trace.Counts() == TraceCounts{1, 0, 1});
  REQUIRE(late_replies.Value() == 1);
}

}  // namespace
}  // namespace jackdawrack

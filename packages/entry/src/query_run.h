#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "entry/caller_request.h"
#include "entry/request_trace.h"
#include "model/contract.h"
#include "peer/peer_router.h"
#include "policy/fleet_view.h"
#include "policy/query_merge.h"
#include "policy/query_planner.h"
#include "query_answer.h"
#include "query_tables.h"

namespace jackdawrack {

/// What a query run is started with.
struct QueryRunSpec {
  RequestId m_request;
  CallerQuery m_query;
  std::shared_ptr<const Contract> m_contract;
  std::shared_ptr<const CollectionMap> m_collection;
  FailureDomain m_domain;
  TimePoint m_started{};
  std::shared_ptr<RequestTrace> m_trace;
  /// This instance, if its domain's owners are passed by.
  std::optional<Instance> m_direct_self;
};

/// Runs one query: pins an index version, asks the owners, merges their parts
/// by key range, asks again elsewhere for what is missing or late, and answers
/// once.
class QueryRun final : public std::enable_shared_from_this<QueryRun> {
 public:
  using DoneHandler = std::function<void(QueryAnswer)>;

  /// `router`, `holder` and `tables` have to outlive this object.
  QueryRun(boost::asio::io_context& context,
           PeerRouter& router,
           const FleetViewHolder& holder,
           QueryTables& tables,
           QueryRunSpec spec,
           DoneHandler on_done);

  /// Sends the first calls and starts the deadline.
  void Start();

 private:
  /// One call to one owner that may still be answered.
  struct OpenCall {
    Instance m_owner;
    RangeSet m_unanswered;
    TimePoint m_sent{};
    bool m_is_hedge = false;
    /// True while its hedge waits longer because most of it is late.
    bool m_is_hedge_postponed = false;
    /// True once late ranges of it were asked for elsewhere.
    bool m_was_hedged = false;
    /// True if it tries a slow replica again: it goes on until its answer,
    /// which decides the trial.
    bool m_is_trial = false;
  };

  // Sending
  void SendTo(const std::vector<KeyRange>& ranges);
  OpenCall& SendShare(const PlannedSubQuery& share, bool is_hedge);
  // Takes the ranges of slow replicas on trial out of the share, asks for each
  // of them apart and at once elsewhere too.
  void SendTrials(PlannedSubQuery& share);
  void HedgeElsewhere(const KeyRange& range);
  [[nodiscard]] QueryPlan Plan(const std::vector<KeyRange>& ranges) const;

  // Answers
  void OnAnswer(const SubAnswer& answer);
  void TraceAnswer(const InstanceId& owner, const SubAnswer& answer);
  void OnRange(OpenCall& call,
               const SubAnswer& answer,
               const RangeAnswer& range);
  void RecordTrial(const OpenCall& call, const SubAnswer& answer);
  bool RestartOnOtherVersion();

  // Coverage
  [[nodiscard]] std::vector<MissingRange> IdleRanges() const;
  [[nodiscard]] bool MayAskAgain(MissReason reason);
  void ReplanIdleRanges();

  [[nodiscard]] ReplicaKey ReplicaOf(const Instance& owner,
                                     const KeyRange& range) const;

  // Hedges
  [[nodiscard]] std::optional<TimePoint> HedgeDue(const OpenCall& call) const;
  void ScheduleHedge();
  void OnHedgeDue();
  void HedgeCall(std::uint32_t attempt);
  void HedgeRefusedElsewhere();
  void WithdrawCoveredCalls();
  // Notes how long the replicas without an answer have taken so far.
  void RecordUnanswered();

  // The end
  void WithdrawOpenCalls();
  void FinishIfDone();
  void Finish();

  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  boost::asio::steady_timer m_deadline_timer;
  boost::asio::steady_timer m_replan_timer;
  boost::asio::steady_timer m_hedge_timer;
  PeerRouter& m_router;
  const FleetViewHolder& m_holder;
  QueryTables& m_tables;
  const QueryRunSpec m_spec;
  const TimePoint m_deadline;
  const DoneHandler m_on_done;

  // Answer
  QueryMerge m_merge;
  std::vector<RangeAnswer> m_refused_hedges;
  bool m_is_finished = false;

  // Calls
  TriedDomains m_tried;
  const ReplicaSet m_slow;
  const ReplicaSet m_on_trial;
  std::unordered_map<std::uint32_t, OpenCall> m_open_calls;
  /// Trials of slow replicas whose ranges other replicas have answered.
  std::unordered_map<std::uint32_t, OpenCall> m_overtaken_trials;
  std::uint32_t m_last_attempt = 0;

  // Repeats
  RangeSet m_given_up;
  std::uint32_t m_replan_rounds = 0;
  bool m_is_replan_scheduled = false;
  bool m_saw_wrong_version = false;
  bool m_was_restarted = false;
};

}  // namespace jackdawrack

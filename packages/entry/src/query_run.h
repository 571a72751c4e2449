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
#include "shared_query_state.h"

namespace jackdawrack {

/// Parameters of a query run.
struct QueryRunSpec {
  RequestId m_request;
  CallerQuery m_query;
  std::shared_ptr<const Contract> m_contract;
  std::shared_ptr<const CollectionMap> m_collection;
  FailureDomain m_domain;
  TimePoint m_started{};
  std::shared_ptr<RequestTrace> m_trace;
  /// Set only for the direct baseline; see `EntrySettings`.
  std::optional<Instance> m_direct_self;
};

/// Runs one query: selects an index version, calls the owners, merges their
/// answers by key range, retries missing ranges, hedges late ones and calls the
/// completion handler once.
class QueryRun final : public std::enable_shared_from_this<QueryRun> {
 public:
  using DoneHandler = std::function<void(QueryAnswer)>;

  /// `router`, `holder` and `state` must outlive this object.
  QueryRun(boost::asio::io_context& context,
           PeerRouter& router,
           const FleetViewHolder& holder,
           SharedQueryState& state,
           QueryRunSpec spec,
           DoneHandler on_done);

  /// Sends the first calls and starts the deadline timer. Called once.
  void Start();

 private:
  /// One call to one owner whose last answer has not arrived.
  struct OpenCall {
    Instance m_owner;
    RangeSet m_unanswered;
    TimePoint m_sent{};
    bool m_is_hedge = false;
    /// True if its hedge was postponed because many of its ranges are late.
    bool m_is_hedge_postponed = false;
    /// True once its late ranges have been hedged.
    bool m_was_hedged = false;
    /// True if it tests whether a slow replica has recovered. Such a call is
    /// not cancelled, because its answer decides the trial.
    bool m_is_trial = false;
  };

  // Sending
  void SendSubQueries(const std::vector<KeyRange>& ranges);
  OpenCall& SendSubQuery(const PlannedSubQuery& planned, bool is_hedge);
  // Removes the ranges of slow replicas on trial from `planned`, sends a
  // separate call for each and, as far as the hedge budget allows, hedges it
  // at once.
  void SendTrials(PlannedSubQuery& planned);
  void HedgeInOtherDomain(const KeyRange& range);
  [[nodiscard]] QueryPlan Plan(const std::vector<KeyRange>& ranges) const;

  // Handling of answers
  void OnAnswer(const SubAnswer& answer);
  void TraceAnswer(const InstanceId& owner, const SubAnswer& answer);
  void OnRangeAnswer(OpenCall& call,
                     const SubAnswer& answer,
                     const RangeAnswer& range);
  void RecordTrial(const OpenCall& call, const SubAnswer& answer);
  bool RestartOnOtherVersion();

  // Retries of missing ranges
  [[nodiscard]] std::vector<MissingRange> RetryCandidates() const;
  // True if a range missing for `reason` may be retried; spends the retry
  // budget unless the reason proves that nothing was executed.
  [[nodiscard]] bool TryAllowRetry(MissReason reason);
  void ReplanMissingRanges();

  [[nodiscard]] ReplicaKey ReplicaOf(const Instance& owner,
                                     const KeyRange& range) const;

  // Hedging
  [[nodiscard]] std::optional<TimePoint> HedgeDue(const OpenCall& call) const;
  void ScheduleHedge();
  void OnHedgeDue();
  void HedgeCall(std::uint32_t attempt);
  void ResendRefusedHedges();
  void CancelCoveredCalls();
  // Records the time waited so far for each replica without an answer.
  void RecordUnansweredCalls();

  // Completion
  void CancelOpenCalls();
  void FinishIfDone();
  void Finish();

  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  boost::asio::steady_timer m_deadline_timer;
  boost::asio::steady_timer m_replan_timer;
  boost::asio::steady_timer m_hedge_timer;
  PeerRouter& m_router;
  const FleetViewHolder& m_holder;
  SharedQueryState& m_state;
  const QueryRunSpec m_spec;
  const TimePoint m_deadline;
  const DoneHandler m_on_done;

  // Answer so far
  QueryMerge m_merge;
  std::vector<RangeAnswer> m_refused_hedges;
  bool m_is_finished = false;

  // Calls
  TriedDomains m_tried;
  const ReplicaSet m_replicas_to_avoid;
  const ReplicaSet m_replicas_on_trial;
  std::unordered_map<std::uint32_t, OpenCall> m_open_calls;
  /// Trial calls whose ranges are no longer awaited. They stay open so that
  /// their answers are recorded.
  std::unordered_map<std::uint32_t, OpenCall> m_superseded_trials;
  std::uint32_t m_last_attempt = 0;

  // Retries and restart
  RangeSet m_abandoned_ranges;
  std::uint32_t m_replan_rounds = 0;
  bool m_is_replan_scheduled = false;
  bool m_saw_wrong_version = false;
  bool m_was_restarted = false;
};

}  // namespace jackdawrack

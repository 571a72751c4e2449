#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "entry/request_trace.h"
#include "peer/peer_router.h"
#include "policy/fleet_view.h"
#include "suspect_list.h"

namespace jackdawrack {

/// Sends one non-idempotent request to the lease holder of its idempotency key.
///
/// The request is sent to one instance at a time, and to another one only after
/// an answer proves that the previous call did not run it. If a call is
/// unanswered at the deadline, the outcome is unknown.
class RequestRun final : public std::enable_shared_from_this<RequestRun> {
 public:
  using DoneHandler = std::function<void(RunAnswer)>;

  /// All references must outlive this object. `request.m_remaining_ms` is the
  /// time until the deadline.
  RequestRun(boost::asio::io_context& context,
             PeerRouter& router,
             const FleetViewHolder& holder,
             SuspectList& suspects,
             RunRequest request,
             std::shared_ptr<RequestTrace> trace,
             DoneHandler on_done);

  /// Sends the first call and starts the deadline timer. Called once.
  void Start();

 private:
  void SendNext();
  void OnAnswer(const InstanceId& target,
                std::uint32_t attempt,
                RunAnswer answer);
  void RetryLater();
  void OnDeadline();
  void Finish(RunAnswer answer);

  // The instance to call next, or null if all live instances were tried.
  [[nodiscard]] const Instance* ChooseTarget(const FleetView& view) const;
  [[nodiscard]] bool WasTried(const InstanceId& instance) const;

  PeerRouter& m_router;
  const FleetViewHolder& m_holder;
  SuspectList& m_suspects;
  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  boost::asio::steady_timer m_deadline_timer;
  boost::asio::steady_timer m_retry_timer;
  RunRequest m_request;
  const TimePoint m_deadline;
  const std::shared_ptr<RequestTrace> m_trace;
  DoneHandler m_on_done;

  // Progress
  std::optional<InstanceId> m_pending_target;
  InstanceId m_holder_hint;
  /// Instances called since the last retry delay.
  std::vector<InstanceId> m_tried;
  RunAnswer m_last_answer;
};

}  // namespace jackdawrack

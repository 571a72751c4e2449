#pragma once

#include <optional>

#include "active_request.h"
#include "routing/gather_progress.h"

namespace jackdawrack {

/// Sends a request to one replica of every shard and merges their records into
/// one response.
class ScatterGatherRequest final
    : public ActiveRequest,
      public std::enable_shared_from_this<ScatterGatherRequest> {
 public:
  ScatterGatherRequest(const GatewayContext& context,
                       std::shared_ptr<const RoutedRequest> request,
                       ResponseHandler handler);

  void Start() override;
  void OnCallerDisconnected() override;
  void FinishNow() override;

 private:
  void OnSubRequestFinished(std::size_t index, SubRequestResult result);
  void FinishIfDecided();
  void Finish(GatherDecision decision);
  /// Sets the timer to the next decision or wake of a part.
  void ScheduleTimer();
  /// Sets the timer to `time` if it would expire later; unlike `ScheduleTimer`
  /// it does not look at all parts.
  void ScheduleNotAfter(TimePoint time);
  void OnTimer();
  void StopSubRequests(TimePoint now);
  [[nodiscard]] CallerResponse MakeMergedResponse() const;
  [[nodiscard]] CallerResponse MakeFailureResponse(TimePoint now) const;
  void Respond(CallerResponse response);

  GatewayContext m_context;
  const std::shared_ptr<const RoutedRequest> m_request;
  ResponseHandler m_handler;
  boost::asio::steady_timer m_timer;
  TimePoint m_timer_at = TimePoint::max();
  GatherProgress m_progress;
  std::vector<std::shared_ptr<SubRequest>> m_sub_requests;
  std::vector<std::optional<UpstreamResponse>> m_responses;
  bool m_is_finished = false;
  /// False until `Start` has created all sub-requests, the first of which may
  /// already have finished by then.
  bool m_is_started = false;
};

}  // namespace jackdawrack

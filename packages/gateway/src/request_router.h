#pragma once

#include <unordered_map>

#include "caller_session.h"
#include "gateway_context.h"
#include "routing/published_state.h"
#include "routing/spent_time_estimator.h"
#include "routing/weighted_round_robin.h"

namespace jackdawrack {

/// Finds the route of each request, decides whether to admit it, and creates
/// the object that processes it.
class RequestRouter final : public CallerRequestHandler {
 public:
  /// `state` outlives the router.
  RequestRouter(const GatewayContext& context, const PublishedState& state);

  [[nodiscard]] CallerLimits Limits() const override;
  [[nodiscard]] bool AllowsKeepAlive() const override {
    return !m_is_keep_alive_ended && !m_is_keep_alive_paused;
  }

  std::shared_ptr<ActiveRequest> Serve(
      CallerHttpRequest http_request,
      TimePoint arrived_at,
      ActiveRequest::ResponseHandler handler) override;

  /// Forgets what was learned about a route that is no longer in force.
  void ForgetRoute(const std::string& name);

  /// From now on connections are closed after their next response.
  void EndKeepAlive() { m_is_keep_alive_ended = true; }

  /// From now on, requests are refused unless they are expected to be answered
  /// by `time`.
  void SetResponsesDueAt(TimePoint time) { m_responses_due_at = time; }

  /// While paused, connections are closed after their next response.
  void PauseKeepAlive(bool is_paused) { m_is_keep_alive_paused = is_paused; }

 private:
  [[nodiscard]] std::shared_ptr<RoutedRequest> MakeRoutedRequest(
      CallerHttpRequest& http_request,
      const Route& route,
      TimePoint arrived_at);

  [[nodiscard]] std::optional<BusyRefusal> CheckAdmission(
      const RoutedRequest& request);
  /// Sends the response to a request that is not processed.
  void Refuse(const RoutedRequest& request,
              CallerResponse response,
              const ActiveRequest::ResponseHandler& handler);

  GatewayContext m_context;
  const PublishedState& m_state;
  TimePoint m_responses_due_at = TimePoint::max();
  bool m_is_keep_alive_ended = false;
  bool m_is_keep_alive_paused = false;
  std::unordered_map<std::string, WeightedRoundRobin> m_rotations;
  SpentTimeEstimator m_spent_time;
};

}  // namespace jackdawrack

#pragma once

#include "active_request.h"

namespace jackdawrack {

/// Forwards a request to one service and relays the upstream's response to the
/// caller.
class ForwardedRequest final
    : public ActiveRequest,
      public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(const GatewayContext& context,
                   std::shared_ptr<const RoutedRequest> request,
                   ServiceName service,
                   ResponseHandler handler);

  void Start() override;
  void OnCallerDisconnected() override;
  void FinishNow() override;

 private:
  void ScheduleTimer();
  void OnTimer();
  void OnSubRequestFinished(SubRequestResult result);
  void Respond(CallerResponse response);

  GatewayContext m_context;
  const std::shared_ptr<const RoutedRequest> m_request;
  const ServiceName m_service;
  ResponseHandler m_handler;
  boost::asio::steady_timer m_timer;
  std::shared_ptr<SubRequest> m_sub_request;
  /// False until `Start` has started the sub-request.
  bool m_is_started = false;
  bool m_is_finished = false;
};

}  // namespace jackdawrack

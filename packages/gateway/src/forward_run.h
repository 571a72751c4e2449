#pragma once

#include "routed_run.h"

namespace jackdawrack {

/// Forwards a request to one service and relays the upstream's response to the
/// caller.
class ForwardRun final : public RoutedRun,
                         public std::enable_shared_from_this<ForwardRun> {
 public:
  ForwardRun(const RunContext& context,
             std::shared_ptr<const RoutedRequest> request,
             ServiceName service,
             ResponseHandler handler);

  void Start() override;
  void CallerLeft() override;

 private:
  void WaitForTimer();
  void OnTimer();
  void OnEnd(PartResult result);
  void Respond(CallerResponse response);

  RunContext m_context;
  const std::shared_ptr<const RoutedRequest> m_request;
  const ServiceName m_service;
  ResponseHandler m_handler;
  boost::asio::steady_timer m_timer;
  std::shared_ptr<PartRun> m_part;
  bool m_is_started = false;
  bool m_is_over = false;
};

}  // namespace jackdawrack

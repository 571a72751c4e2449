#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "core/run_logged.h"
#include "routed_request.h"
#include "sub_request.h"

namespace jackdawrack {

/// Processes one request of a caller until it has a response.
class ActiveRequest {
 public:
  using ResponseHandler = std::function<void(CallerResponse)>;

  virtual ~ActiveRequest() = default;

  /// Starts processing. The handler is called once, unless the caller
  /// disconnects first. It may be called before `Start` returns, so the code
  /// that calls `Start` has to hold a reference to this object.
  virtual void Start() = 0;

  /// Has to be called when the caller disconnects: running attempts are
  /// abandoned and the handler is not called.
  virtual void OnCallerDisconnected() = 0;

  /// Responds now with what has been received so far; running attempts are
  /// abandoned. Has no effect after the response.
  virtual void FinishNow() = 0;
};

/// Runs one step of a request that has started. After an exception, which is
/// logged, the request responds at once.
template <typename Step>
void RunStep(ActiveRequest& request, const Step& step) {
  try {
    step();
  } catch (...) {
    LogException("request", std::current_exception());
    RunLogged("response", [&request] { request.FinishNow(); });
  }
}

/// Makes the 503 response to a request that no upstream has executed and that
/// cannot be sent before `retry_at`, or now if that is not known.
[[nodiscard]] CallerResponse MakeNoUpstreamResponse(
    const RoutedRequest& request,
    std::optional<TimePoint> retry_at,
    TimePoint now);

/// Makes the response to a request that may have been executed: 504 once its
/// deadline has passed, 502 before.
[[nodiscard]] CallerResponse MakeOutcomeUnknownResponse(
    const RoutedRequest& request,
    TimePoint now);

}  // namespace jackdawrack

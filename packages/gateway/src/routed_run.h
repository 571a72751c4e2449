#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "caller_call.h"
#include "part_run.h"

namespace jackdawrack {

/// One request of a caller on its way to an answer.
class RoutedRun {
 public:
  using AnswerHandler = std::function<void(CallerAnswer)>;

  virtual ~RoutedRun() = default;

  /// Begins; the answer comes once, unless the caller leaves before. It may
  /// come before `Start` returns, so that the caller of `Start` holds the run.
  virtual void Start() = 0;

  /// The caller has gone; upstreams are told to stop and nothing is answered.
  virtual void CallerLeft() = 0;
};

/// Answer to a request of which nothing ran, and nothing can be sent now.
[[nodiscard]] CallerAnswer MakeUnservedAnswer(const CallerCall& call,
                                              TimePoint now);

/// Answer to a request that may have run: in time, or since the time is over.
[[nodiscard]] CallerAnswer MakeLostAnswer(const CallerCall& call,
                                          TimePoint now);

}  // namespace jackdawrack

#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "routing/route.h"

namespace jackdawrack {

/// Estimates the time that a caller has spent on earlier attempts of a request.
///
/// Each attempt carries only the remaining time until the caller's deadline.
/// The longest remaining time seen on a route is assumed to be that of a first
/// attempt; the difference to it is the time spent on earlier attempts.
class SpentTimeEstimator final {
 public:
  /// Returns the estimate for an attempt with `deadline` remaining and updates
  /// the longest remaining time of the route. The estimate is limited to half
  /// of the target latency, because a caller may use a short deadline from the
  /// start.
  Duration Estimate(const Route& route, Milliseconds deadline);

  /// Forgets what was seen on a route.
  void Forget(const std::string& route) { m_longest_deadlines.erase(route); }

 private:
  std::unordered_map<std::string, Milliseconds> m_longest_deadlines;
};

}  // namespace jackdawrack

#include "routing/spent_time_estimator.h"

#include <algorithm>

namespace jackdawrack {

Duration SpentTimeEstimator::Estimate(const Route& route,
                                      Milliseconds deadline) {
  // Ignore time beyond the route's timeout, so that one caller's long deadline
  // does not affect the others
  const Milliseconds told = std::min(deadline, route.m_timeout);
  Milliseconds& most = m_longest_deadlines[route.m_name];
  most = std::max(most, told);
  const Milliseconds first = std::min(most, route.m_timeout);
  return std::min<Duration>(first - told, route.m_target_latency / 2);
}

}  // namespace jackdawrack

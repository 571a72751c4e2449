#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "routing/route.h"

namespace jackdawrack {

/// Estimates how long a caller has waited on earlier attempts of a request.
///
/// An attempt tells only the time that is left. A first attempt tells most;
/// what an attempt lacks of the most seen on its route has been spent before.
class SpentTime final {
 public:
  /// The estimate for an attempt that leaves `deadline`. At most half of the
  /// target latency, as a caller may also be in a hurry from the start.
  Duration Note(const Route& route, Milliseconds deadline);

 private:
  std::unordered_map<std::string, Milliseconds> m_first_deadlines;
};

}  // namespace jackdawrack

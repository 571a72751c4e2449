#pragma once

#include "policy/query_planner.h"

namespace jackdawrack {

/// The plan of the direct baseline, for measurement: everything that the plan
/// asks of owners in the own failure domain is asked of `self` instead, which
/// then keeps its own pools to all upstreams of the domain.
[[nodiscard]] QueryPlan MakeDirectPlan(QueryPlan plan, const Instance& self);

}  // namespace jackdawrack

#pragma once

#include "policy/query_planner.h"

namespace jackdawrack {

/// Converts `plan` for the direct baseline, a configuration for performance
/// comparisons: all ranges planned for owners in the failure domain of `self`
/// are assigned to `self`, which then holds connection pools of its own to
/// every upstream of the domain. Other domains are planned as before.
[[nodiscard]] QueryPlan MakeDirectPlan(QueryPlan plan, const Instance& self);

}  // namespace jackdawrack

#pragma once

#include <string>

#include "entry/trace_step.h"

namespace jackdawrack {

/// Encodes a trace as the JSON that `/v1/explain/<id>` returns.
[[nodiscard]] std::string EncodeTrace(const TraceRecord& record);

}  // namespace jackdawrack

#pragma once

#include <string>

#include "entry/trace_step.h"

namespace jackdawrack {

/// The trace as JSON, as `/v1/explain/<id>` serves it.
[[nodiscard]] std::string EncodeTrace(const TraceRecord& record);

}  // namespace jackdawrack

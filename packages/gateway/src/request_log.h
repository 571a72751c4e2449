#pragma once

#include <memory>
#include <span>

#include "caller_call.h"
#include "part_run.h"

namespace jackdawrack {

/// What a finished request did, for the log and the metrics.
struct FinishedRequest {
  const CallerCall& m_call;
  std::span<const std::shared_ptr<PartRun>> m_parts;
  /// Status given to the caller; 0 if the caller had left.
  unsigned m_status = 0;
  /// Shards that the answer lacks.
  std::uint32_t m_missing = 0;
};

/// Counts a finished request and writes its lines: failures, refusals and
/// partial answers always, complete successes for a sample of request ids that
/// is the same on every instance.
void RecordFinished(const RunContext& context,
                    const FinishedRequest& finished,
                    TimePoint now);

}  // namespace jackdawrack

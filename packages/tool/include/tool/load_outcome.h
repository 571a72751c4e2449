#pragma once

#include <cstdint>

#include "net/http_message.h"
#include "net/net_error.h"

namespace jackdawrack {

/// How one request of a load run ended.
enum class LoadOutcome : std::uint8_t {
  /// A whole answer, or a non-idempotent request that ran.
  kComplete,
  /// An answer that covers a part.
  kPartial,
  /// Refused, and said not to have run.
  kRefused,
  /// No reply, an error, or an unknown outcome.
  kFailed,
};

/// One reply, judged.
struct LoadReply {
  LoadOutcome m_outcome = LoadOutcome::kFailed;
  /// Covered share of the keys asked for, 0 to 1.
  double m_coverage = 0;

  friend bool operator==(const LoadReply&, const LoadReply&) = default;
};

/// Judges what came back for a request.
[[nodiscard]] LoadReply JudgeReply(const NetResult<HttpReply>& reply);

}  // namespace jackdawrack

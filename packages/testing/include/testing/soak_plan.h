#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"

namespace jackdawrack {

/// What a step of a soak does.
enum class SoakAction : std::uint8_t {
  // Another writer's records
  kPutRecord,
  kRemoveRecord,
  // Configurations
  kPublishConfig,
  kPublishConfigs,
  // Upstreams
  kBreakReplica,
  kPauseReplica,
  kAddToAnswers,
  kMendReplica,
  kEndReplica,
  kResumeReplica,
  kDrainReplica,
  kUnpublishReplica,
  kRestartReplica,
  kOverwriteReplica,
  kPublishReplica,
  // Instances
  kTerminate,
  kTerminateAtStart,
  kKill,
  kSuspend,
  kContinue,
  kHangUp,
  // Store
  kStoreFails,
  kStoreIsSlow,
  kStoreLosesReplies,
  kStoreForgets,
  kStoreServes,
};

/// The name of an action in reports.
[[nodiscard]] const char* SoakActionName(SoakAction action);

/// One step of a soak.
struct SoakStep {
  /// Time from the begin of the soak.
  Milliseconds m_at{0};
  SoakAction m_action = SoakAction::kPutRecord;
  /// Which instance, upstream or record, modulo their number.
  std::uint64_t m_subject = 0;
  /// Seed of the details.
  std::uint64_t m_value = 0;
};

/// Draws troubles, one after another and overlapping, in order of time.
[[nodiscard]] std::vector<SoakStep> DrawSoakPlan(std::uint64_t seed,
                                                 Milliseconds length);

}  // namespace jackdawrack

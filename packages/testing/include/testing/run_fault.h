#pragma once

#include <string>
#include <vector>

namespace jackdawrack {

/// The faults that the randomised run draws from.
enum class RunFault {
  kKillInstance,
  kPauseInstance,
  kRestartInstance,
  kCutDomains,
  kCutPlatform,
  kPlatformDown,
  kPlatformOlder,
  kOperatorsRace,
  kSilentPeers,
  kSilentUpstreams,
  kSilentPlatform,
  kLossyLinks,
  kShuffledReplies,
  kReplicaLost,
  kStraggler,
  kColdUpstreams,
  kDraining,
  kShedding,
  kRepartition,
  kIndexVersions,
};

/// Every fault, in order.
[[nodiscard]] std::vector<RunFault> AllRunFaults();

/// Name for the printed schedule.
[[nodiscard]] const char* RunFaultName(RunFault fault);

}  // namespace jackdawrack

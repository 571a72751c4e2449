#include "testing/run_fault.h"

namespace jackdawrack {

std::vector<RunFault> AllRunFaults() {
  std::vector<RunFault> faults;
  for (int i = 0; i <= static_cast<int>(RunFault::kIndexVersions); ++i) {
    faults.push_back(static_cast<RunFault>(i));
  }
  return faults;
}

const char* RunFaultName(RunFault fault) {
  switch (fault) {
    case RunFault::kKillInstance:
      return "kill-instance";
    case RunFault::kPauseInstance:
      return "pause-instance";
    case RunFault::kRestartInstance:
      return "restart-instance";
    case RunFault::kCutDomains:
      return "cut-domains";
    case RunFault::kCutPlatform:
      return "cut-platform";
    case RunFault::kPlatformDown:
      return "platform-down";
    case RunFault::kPlatformOlder:
      return "platform-older";
    case RunFault::kOperatorsRace:
      return "operators-race";
    case RunFault::kSilentPeers:
      return "silent-peers";
    case RunFault::kSilentUpstreams:
      return "silent-upstreams";
    case RunFault::kSilentPlatform:
      return "silent-platform";
    case RunFault::kLossyLinks:
      return "lossy-links";
    case RunFault::kShuffledReplies:
      return "shuffled-replies";
    case RunFault::kReplicaLost:
      return "replica-lost";
    case RunFault::kStraggler:
      return "straggler";
    case RunFault::kColdUpstreams:
      return "cold-upstreams";
    case RunFault::kDraining:
      return "draining";
    case RunFault::kShedding:
      return "shedding";
    case RunFault::kRepartition:
      return "repartition";
    case RunFault::kIndexVersions:
      return "index-versions";
  }
  return "";
}

}  // namespace jackdawrack

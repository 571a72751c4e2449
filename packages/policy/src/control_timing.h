#pragma once

#include "core/clock.h"

namespace jackdawrack {

/// Timeout of a control call.
inline constexpr Milliseconds kCallTimeout{1000};

/// Mean interval between probes of peers in the own domain.
inline constexpr Milliseconds kProbePeriod{1000};

/// Mean interval between probes of other domains, per live instance of the own
/// domain, so that the rate of a whole domain is independent of its size.
inline constexpr Milliseconds kOtherDomainProbePeriodPerInstance{100};
/// Lower and upper bound of that interval.
inline constexpr Milliseconds kMinOtherDomainProbePeriod{500};
inline constexpr Milliseconds kMaxOtherDomainProbePeriod{10'000};

/// Mean interval between probes of instances that are not live.
inline constexpr Milliseconds kNonLiveProbePeriod{2000};

/// Number of extra probes of other domains after a change, and the delay before
/// them, which lets the watchers of those domains read the change themselves.
inline constexpr int kExtraProbesAfterChange = 2;
inline constexpr Milliseconds kExtraProbeDelay{250};

/// Number of peers asked to probe an instance that did not answer.
inline constexpr std::size_t kIndirectProbes = 2;

/// Maximum number of statuses of other instances in one message.
inline constexpr std::size_t kMaxStatusesPerMessage = 8;

/// Push delay per watcher rank, so that the watcher of the lowest rank pushes
/// first.
inline constexpr Milliseconds kPushDelayPerRank{150};

/// If the configuration is older than `kStaleConfigAge`, additional instances
/// watch: one more per `kExtraWatcherInterval`, up to `kMaxExtraWatchers`.
inline constexpr Milliseconds kStaleConfigAge{20'000};
inline constexpr Milliseconds kExtraWatcherInterval{2000};
inline constexpr std::size_t kMaxExtraWatchers = 5;

/// An instance that has not received any message for this time plus a random
/// part of the jitter watches the configuration service itself. The jitter
/// keeps many isolated instances from starting at the same moment.
inline constexpr Milliseconds kIsolationTimeout{3000};
inline constexpr Milliseconds kIsolationTimeoutJitter{4000};

/// Time that the configuration service has to hold an older instance list
/// before that list replaces the one in force. Exceeds the lag of the service's
/// replicas, since a lagging replica also returns an older list.
inline constexpr Milliseconds kListRollbackDelay{10'000};

}  // namespace jackdawrack

#pragma once

#include "core/clock.h"

namespace jackdawrack {

/// A control call without a reply for this long counts as failed.
inline constexpr Milliseconds kCallTimeout{1000};

/// Time between two probes of the own domain.
inline constexpr Milliseconds kProbePeriod{1000};

/// Time between probes of other domains, per live instance of the own domain,
/// so that a domain makes about as many whatever its size.
inline constexpr Milliseconds kOtherProbePeriodPerPeer{100};
inline constexpr Milliseconds kMinOtherProbePeriod{500};
inline constexpr Milliseconds kMaxOtherProbePeriod{10'000};

/// Time between probes of instances that are not live.
inline constexpr Milliseconds kLostProbePeriod{2000};

/// Other domains probed soon after a change, and the wait before it, in which
/// their own watchers read it.
inline constexpr int kExtraOtherProbes = 2;
inline constexpr Milliseconds kExtraOtherProbeDelay{250};

/// Instances asked to probe one that did not answer.
inline constexpr std::size_t kIndirectProbes = 2;

/// Notices carried by one message.
inline constexpr std::size_t kNoticesPerMessage = 8;

/// Time that each watcher leaves to those before it to push a change.
inline constexpr Milliseconds kPushTurn{150};

/// Age of the configuration above which further instances watch: one more for
/// each step, up to the greatest number.
inline constexpr Milliseconds kStaleLimit{20'000};
inline constexpr Milliseconds kEscalationStep{2000};
inline constexpr std::size_t kMaxExtraWatchers = 5;

/// An instance that heard from nobody for this long, and a random part of the
/// spread, watches by itself; so many at once do not come in one moment.
inline constexpr Milliseconds kIsolationLimit{3000};
inline constexpr Milliseconds kIsolationSpread{4000};

/// Time that an older instance list has to stand at the service before it
/// replaces the one in force; longer than its replicas lag.
inline constexpr Milliseconds kRegressHold{10'000};

}  // namespace jackdawrack

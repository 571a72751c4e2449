#pragma once

#include <cstddef>
#include <optional>

#include "model/instance.h"
#include "model/query_policy_settings.h"

namespace jackdawrack {

/// Settings of the entry role: identity, limits on caller input and query
/// policy.
struct EntrySettings {
  InstanceId m_instance;
  FailureDomain m_domain;
  /// Random number of this process, the first part of each request id.
  std::uint64_t m_epoch = 0;
  std::size_t m_max_idempotency_key_bytes = 128;
  std::size_t m_max_ranges = 4096;
  QueryPolicySettings m_query_policy;
  /// Set only for the direct baseline, in which this instance queries the
  /// upstreams of its own domain directly instead of through their owners.
  std::optional<Instance> m_direct_self;
};

}  // namespace jackdawrack

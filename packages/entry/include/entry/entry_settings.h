#pragma once

#include <cstddef>
#include <optional>

#include "model/instance.h"
#include "model/query_policy_settings.h"

namespace jackdawrack {

/// Bounds of what callers may send.
struct EntrySettings {
  InstanceId m_instance;
  FailureDomain m_domain;
  /// Random number of the process; request ids begin with it.
  std::uint64_t m_epoch = 0;
  std::size_t m_max_idempotency_key_bytes = 128;
  std::size_t m_max_ranges = 4096;
  QueryPolicySettings m_query_policy;
  /// This instance, if queries go past the owners of its own domain.
  std::optional<Instance> m_direct_self;
};

}  // namespace jackdawrack

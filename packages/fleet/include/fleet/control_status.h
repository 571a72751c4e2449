#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/config_store.h"
#include "policy/control_message.h"

namespace jackdawrack {

/// Status of one configuration value in force, for operators.
struct ValueStatus {
  ValueDigest m_digest;
  /// Revision of the value in the configuration service.
  std::uint64_t m_config_service_revision = 0;
  std::uint64_t m_generation = 0;
  /// True if two texts of the version in force have been received.
  bool m_has_conflict = false;
};

/// Snapshot of configuration and membership for operators. Immutable once
/// published.
struct ControlStatus {
  /// True if this instance watches the configuration service.
  bool m_is_watcher = false;
  /// See `ControlService::IsSynced`.
  bool m_is_joined = false;
  /// Root hash of the configuration store.
  std::uint64_t m_root_hash = 0;
  std::vector<ValueStatus> m_values;
  /// Known state of each instance in the instance list.
  std::vector<MemberStatus> m_members;
};

}  // namespace jackdawrack

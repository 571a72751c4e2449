#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/config_store.h"
#include "policy/control_message.h"

namespace jackdawrack {

/// One value in force, as operators see it.
struct ValueStatus {
  ValueDigest m_digest;
  std::uint64_t m_platform_revision = 0;
  std::uint64_t m_generation = 0;
  bool m_has_conflict = false;
};

/// What operators see of configuration and membership; never changed once made.
struct ControlStatus {
  bool m_is_watcher = false;
  bool m_is_joined = false;
  std::uint64_t m_root_hash = 0;
  std::vector<ValueStatus> m_values;
  /// What is held of every listed instance.
  std::vector<MemberStatus> m_members;
};

}  // namespace jackdawrack

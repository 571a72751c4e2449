#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/ids.h"
#include "model/published_value.h"
#include "policy/config_store.h"

namespace jackdawrack {

/// What the instances of one failure domain hold of an instance's life; of two
/// states of the same incarnation the greater one wins.
enum class MemberState : std::uint8_t {
  kAlive,
  /// A probe stayed unanswered; counts as live until it is confirmed.
  kSuspect,
  kUnreachable,
  /// Announced by the instance itself.
  kLeaving,
};

/// News of one instance. Only the instance itself raises its incarnation, by
/// which it contradicts what is said of it.
struct MemberNotice {
  InstanceId m_instance;
  MemberState m_state = MemberState::kAlive;
  std::uint64_t m_incarnation = 0;

  friend auto operator<=>(const MemberNotice&, const MemberNotice&) = default;
  friend bool operator==(const MemberNotice&, const MemberNotice&) = default;
};

/// What a control call asks for.
enum class ControlKind : std::uint8_t {
  /// Are you there, and do our configurations agree?
  kProbe,
  /// Take these values and notices and pass them on along the tree.
  kPush,
  /// These are my digests of some groups: send what is newer, name what is
  /// older.
  kCompare,
  /// Take these values.
  kValues,
};

/// A call between instances, or the reply to one.
struct ControlMessage {
  ControlKind m_kind = ControlKind::kProbe;
  /// State and incarnation of the sender.
  MemberNotice m_sender;
  /// Hash over the sender's configuration.
  std::uint64_t m_root_hash = 0;
  /// True if the sender knows how old its configuration may be.
  bool m_has_age = false;
  /// Time since the sender's configuration was known to be current.
  std::uint64_t m_age_ms = 0;
  /// News of other instances.
  std::vector<MemberNotice> m_notices;

  // Push

  /// Where the tree begins; empty if nothing is to be passed on.
  InstanceId m_tree_root;
  std::vector<PublishedValue> m_values;

  // Comparison

  /// Hashes of the groups of names; empty or `kDigestBuckets` long.
  std::vector<std::uint32_t> m_buckets;
  /// Groups that `m_digests` covers.
  std::vector<std::uint32_t> m_compared;
  std::vector<ValueDigest> m_digests;
  /// Names whose values the sender of a reply lacks.
  std::vector<std::string> m_wanted;
  /// True if more values differ than one message holds.
  bool m_has_more = false;

  // Indirect probe

  /// An instance that the receiver is asked to probe as well, or empty.
  InstanceId m_probe_target;

  friend bool operator==(const ControlMessage&,
                         const ControlMessage&) = default;
};

}  // namespace jackdawrack

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/ids.h"
#include "model/published_value.h"
#include "policy/config_store.h"

namespace jackdawrack {

/// State of an instance as known to the instances of one failure domain. Of two
/// states with the same incarnation, the one with the greater value wins.
enum class MemberState : std::uint8_t {
  kAlive,
  /// A call was not answered; counts as live until the suspicion times out.
  kSuspect,
  /// The suspicion was not refuted in time.
  kUnreachable,
  /// Announced by the instance itself.
  kLeaving,
};

/// State of one instance as of an incarnation. Only the instance itself raises
/// its incarnation, which overrides what other instances report about it.
struct MemberStatus {
  InstanceId m_instance;
  MemberState m_state = MemberState::kAlive;
  std::uint64_t m_incarnation = 0;

  friend auto operator<=>(const MemberStatus&, const MemberStatus&) = default;
  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

/// Type of a control call.
enum class ControlKind : std::uint8_t {
  /// Checks that the receiver answers and compares the configurations.
  kProbe,
  /// Delivers values and member states, which the receiver merges and forwards
  /// along the push tree.
  kPush,
  /// Delivers the digests of some buckets. The reply holds the values that are
  /// newer at the receiver and the names of those that are newer at the sender.
  kCompare,
  /// Delivers values without forwarding.
  kValues,
};

/// A control call between two instances, or the reply to one.
struct ControlMessage {
  ControlKind m_kind = ControlKind::kProbe;
  /// State and incarnation of the sender.
  MemberStatus m_sender;
  /// Hash over the sender's configuration, from `ConfigStore::RootHash`.
  std::uint64_t m_root_hash = 0;
  /// True if `m_config_age_ms` is known.
  bool m_has_config_age = false;
  /// Time since the sender's configuration was last known to be current, in ms.
  std::uint64_t m_config_age_ms = 0;
  /// Statuses of other instances, and that of the receiver as known to the
  /// sender if the receiver has to refute it.
  std::vector<MemberStatus> m_member_statuses;

  // Push

  /// Root of the push tree; empty if the message is not to be forwarded.
  InstanceId m_tree_root;
  /// Values to merge, in pushes, value messages and replies.
  std::vector<PublishedValue> m_values;

  // Comparison

  /// Bucket hashes of the sender; empty or `kDigestBuckets` long.
  std::vector<std::uint32_t> m_bucket_hashes;
  /// Indices of the buckets that `m_digests` covers.
  std::vector<std::uint32_t> m_compared_buckets;
  /// Digests of all of the sender's values in these buckets.
  std::vector<ValueDigest> m_digests;
  /// Names of values that the sender of a reply requests.
  std::vector<std::string> m_requested_names;
  /// True if more values differ than fit into one message.
  bool m_has_more = false;

  // Indirect probe

  /// Instance that the receiver is asked to probe for the sender, or empty.
  InstanceId m_probe_target;

  friend bool operator==(const ControlMessage&,
                         const ControlMessage&) = default;
};

}  // namespace jackdawrack

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/ids.h"
#include "model/key_range.h"
#include "model/outcome.h"
#include "peer/call_id.h"
#include "peer/share_message.h"
#include "policy/lease_messages.h"

namespace jackdawrack {

/// Version of the frames below; a peer of another version is refused.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

/// First frame in both directions.
struct Hello {
  std::uint32_t m_protocol = kPeerProtocolVersion;
  InstanceId m_instance;
  FailureDomain m_domain;
  /// Random number of the process, so that a restart is noticed.
  std::uint64_t m_epoch = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_protocol, m_instance, m_domain, m_epoch);
  }
  friend bool operator==(const Hello&, const Hello&) = default;
};

/// Sent by the dialling side at a fixed interval and echoed by the other.
struct Heartbeat {
  std::uint64_t m_number = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number);
  }
  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Asks an owner for the rows of some ranges at one index version.
struct SubQuery {
  CallId m_call;
  Customer m_customer;
  CollectionName m_collection;
  std::string m_body;
  std::uint64_t m_index_version = 0;
  /// Time that the owner may take, in milliseconds.
  std::uint32_t m_remaining_ms = 0;
  /// True for a hedge: use another replica than the one already asked.
  bool m_is_hedge = false;
  std::vector<KeyRange> m_ranges;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_call, m_customer, m_collection, m_body, m_index_version,
            m_remaining_ms, m_is_hedge, m_ranges);
  }
  friend bool operator==(const SubQuery&, const SubQuery&) = default;
};

/// What an owner has to say of one range.
struct RangeAnswer {
  KeyRange m_range;
  MissReason m_reason = MissReason::kNone;
  std::vector<std::string> m_rows;
  /// Versions that the replica says it serves, oldest first; empty if it did
  /// not say or if its newest is the one asked for and published.
  std::vector<std::uint64_t> m_served_versions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_range, m_reason, m_rows, m_served_versions);
  }
  friend bool operator==(const RangeAnswer&, const RangeAnswer&) = default;
};

/// Part of an owner's answer; the last part is marked.
struct SubAnswer {
  CallId m_call;
  std::uint64_t m_index_version = 0;
  bool m_is_last = false;
  std::vector<RangeAnswer> m_ranges;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_call, m_index_version, m_is_last, m_ranges);
  }
  friend bool operator==(const SubAnswer&, const SubAnswer&) = default;
};

/// Tells an owner that the answer of a call is not needed any more.
struct Cancel {
  CallId m_call;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_call);
  }
  friend bool operator==(const Cancel&, const Cancel&) = default;
};

/// Asks an owner to run a non-idempotent request at most once.
struct RunRequest {
  CallId m_call;
  Customer m_customer;
  CollectionName m_collection;
  std::string m_kind;
  /// The caller's idempotency key, a UUIDv7.
  std::string m_idempotency_key;
  /// The key whose shard runs the request.
  std::uint64_t m_shard_key = 0;
  std::string m_body;
  std::uint32_t m_remaining_ms = 0;
  /// Set by the lease holder when it asks an instance of another failure
  /// domain to send the request: wall-clock time after which it must not.
  std::int64_t m_not_after_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_call, m_customer, m_collection, m_kind, m_idempotency_key,
            m_shard_key, m_body, m_remaining_ms, m_not_after_ms);
  }
  friend bool operator==(const RunRequest&, const RunRequest&) = default;
};

/// What became of a non-idempotent request.
struct RunAnswer {
  CallId m_call;
  Outcome m_outcome = Outcome::kUnknown;
  /// Stable word for why it did not run, or is unknown.
  std::string m_reason;
  std::string m_result;
  /// True when this call ran nothing and may be made again elsewhere, whatever
  /// became of earlier calls of the same key.
  bool m_is_retryable = false;
  /// The instance that is believed to hold the lease; may be empty.
  InstanceId m_holder;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_call, m_outcome, m_reason, m_result, m_is_retryable, m_holder);
  }
  friend bool operator==(const RunAnswer&, const RunAnswer&) = default;
};

/// A JSON-RPC call of the control plane.
struct ControlCall {
  std::uint64_t m_number = 0;
  std::string m_text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_text);
  }
  friend bool operator==(const ControlCall&, const ControlCall&) = default;
};

/// The JSON-RPC reply to the control call of the same number.
struct ControlReply {
  std::uint64_t m_number = 0;
  std::string m_text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_text);
  }
  friend bool operator==(const ControlReply&, const ControlReply&) = default;
};

/// Asks a peer for parts of contracts.
struct ShareAsk {
  std::uint64_t m_number = 0;
  std::vector<ShareWish> m_wishes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_wishes);
  }
  friend bool operator==(const ShareAsk&, const ShareAsk&) = default;
};

/// The answer to the share ask of the same number.
struct ShareReply {
  std::uint64_t m_number = 0;
  ShareGrants m_grants;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_grants);
  }
  friend bool operator==(const ShareReply&, const ShareReply&) = default;
};

/// What instances ask each other about leases.
using LeaseCallBody = std::variant<LeaseRequest, LeaseClaim, LeaseHandOver>;

/// The answer to each; a claim has an empty one.
using LeaseReplyBody = std::variant<LeaseVotes, LeaseHandOverReply>;

/// A call about leases.
struct LeaseCall {
  std::uint64_t m_number = 0;
  LeaseCallBody m_body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_body);
  }
  friend bool operator==(const LeaseCall&, const LeaseCall&) = default;
};

/// The reply to the lease call of the same number.
struct LeaseReply {
  std::uint64_t m_number = 0;
  LeaseReplyBody m_body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_body);
  }
  friend bool operator==(const LeaseReply&, const LeaseReply&) = default;
};

/// Sent by the accepting side that stops: it answers what it has been asked,
/// and should be asked nothing more.
struct Goodbye {
  std::uint64_t m_epoch = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_epoch);
  }
  friend bool operator==(const Goodbye&, const Goodbye&) = default;
};

/// Any frame between instances.
using PeerFrame = std::variant<Hello,
                               Heartbeat,
                               SubQuery,
                               SubAnswer,
                               Cancel,
                               RunRequest,
                               RunAnswer,
                               ControlCall,
                               ControlReply,
                               ShareAsk,
                               ShareReply,
                               LeaseCall,
                               LeaseReply,
                               Goodbye>;

}  // namespace jackdawrack

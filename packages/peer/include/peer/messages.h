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

/// Version of the frame format. Connections to peers of another version are
/// rejected.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

/// First frame on a connection, sent by both sides. Identifies the sender.
struct Hello {
  std::uint32_t m_protocol = kPeerProtocolVersion;
  InstanceId m_instance;
  FailureDomain m_domain;
  /// Random number of the process, which changes when the instance restarts.
  std::uint64_t m_epoch = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_protocol, m_instance, m_domain, m_epoch);
  }
  friend bool operator==(const Hello&, const Hello&) = default;
};

/// Sent by the client at a fixed interval and echoed by the server.
struct Heartbeat {
  std::uint64_t m_number = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number);
  }
  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Request to an owner for the rows of key ranges at one index version.
struct SubQuery {
  CallId m_call;
  Customer m_customer;
  CollectionName m_collection;
  std::string m_body;
  std::uint64_t m_index_version = 0;
  /// Remaining time until the deadline, in milliseconds.
  std::uint32_t m_remaining_ms = 0;
  /// True for a hedged request, which uses a different replica than the
  /// first request.
  bool m_is_hedge = false;
  std::vector<KeyRange> m_ranges;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_call, m_customer, m_collection, m_body, m_index_version,
            m_remaining_ms, m_is_hedge, m_ranges);
  }
  friend bool operator==(const SubQuery&, const SubQuery&) = default;
};

/// An owner's result for one key range.
struct RangeAnswer {
  KeyRange m_range;
  MissReason m_reason = MissReason::kNone;
  std::vector<std::string> m_rows;
  /// Index versions that the replica reports, oldest first. Empty if it reports
  /// none, or if its newest version is the published one that was requested.
  std::vector<std::uint64_t> m_served_versions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_range, m_reason, m_rows, m_served_versions);
  }
  friend bool operator==(const RangeAnswer&, const RangeAnswer&) = default;
};

/// One part of an owner's reply to a sub-query. The last part has `m_is_last`
/// set.
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

/// Notifies an owner that the reply to a sub-query is no longer needed.
struct Cancel {
  CallId m_call;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_call);
  }
  friend bool operator==(const Cancel&, const Cancel&) = default;
};

/// Request to an owner to execute a non-idempotent request at most once.
struct RunRequest {
  CallId m_call;
  Customer m_customer;
  CollectionName m_collection;
  std::string m_kind;
  /// Idempotency key (UUIDv7) that the caller provided.
  std::string m_idempotency_key;
  /// Key that selects the shard which executes the request.
  std::uint64_t m_shard_key = 0;
  std::string m_body;
  /// Remaining time until the deadline, in milliseconds.
  std::uint32_t m_remaining_ms = 0;
  /// Latest time at which the request may be sent, in milliseconds since
  /// 1970-01-01 UTC. Set when the lease holder forwards the request to an
  /// instance in another failure domain.
  std::int64_t m_not_after_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_call, m_customer, m_collection, m_kind, m_idempotency_key,
            m_shard_key, m_body, m_remaining_ms, m_not_after_ms);
  }
  friend bool operator==(const RunRequest&, const RunRequest&) = default;
};

/// Reply to `RunRequest`.
struct RunAnswer {
  CallId m_call;
  Outcome m_outcome = Outcome::kUnknown;
  /// Stable identifier of the reason why the request was not executed, or why
  /// its outcome is unknown.
  std::string m_reason;
  std::string m_result;
  /// True if this call executed nothing, so that it may be sent to another
  /// instance, regardless of the outcome of earlier calls with the same key.
  bool m_is_retryable = false;
  /// Instance that presumably holds the lease; empty if unknown.
  InstanceId m_holder;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_call, m_outcome, m_reason, m_result, m_is_retryable, m_holder);
  }
  friend bool operator==(const RunAnswer&, const RunAnswer&) = default;
};

/// JSON-RPC call of the control plane.
struct ControlCall {
  std::uint64_t m_number = 0;
  std::string m_text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_text);
  }
  friend bool operator==(const ControlCall&, const ControlCall&) = default;
};

/// JSON-RPC reply to the `ControlCall` of the same number.
struct ControlReply {
  std::uint64_t m_number = 0;
  std::string m_text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_text);
  }
  friend bool operator==(const ControlReply&, const ControlReply&) = default;
};

/// Request to a peer to lend shares of contracts.
struct ShareRequest {
  std::uint64_t m_number = 0;
  std::vector<ContractShare> m_shares;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_shares);
  }
  friend bool operator==(const ShareRequest&, const ShareRequest&) = default;
};

/// Reply to the `ShareRequest` of the same number.
struct ShareReply {
  std::uint64_t m_number = 0;
  ShareGrants m_grants;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_grants);
  }
  friend bool operator==(const ShareReply&, const ShareReply&) = default;
};

/// Body of a lease call.
using LeaseCallBody = std::variant<LeaseRequest, LeaseClaim, LeaseHandOver>;

/// Body of the reply to a lease call. `LeaseClaim` gets an empty
/// `LeaseHandOverReply`.
using LeaseReplyBody = std::variant<LeaseVotes, LeaseHandOverReply>;

/// Call of the lease protocol.
struct LeaseCall {
  std::uint64_t m_number = 0;
  LeaseCallBody m_body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_body);
  }
  friend bool operator==(const LeaseCall&, const LeaseCall&) = default;
};

/// Reply to the `LeaseCall` of the same number.
struct LeaseReply {
  std::uint64_t m_number = 0;
  LeaseReplyBody m_body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_body);
  }
  friend bool operator==(const LeaseReply&, const LeaseReply&) = default;
};

/// Sent by a server that shuts down. It still answers pending calls, but the
/// client must send no new ones.
struct Goodbye {
  std::uint64_t m_epoch = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_epoch);
  }
  friend bool operator==(const Goodbye&, const Goodbye&) = default;
};

/// Any frame of the peer protocol. The order of the types is part of the
/// encoding.
using PeerFrame = std::variant<Hello,
                               Heartbeat,
                               SubQuery,
                               SubAnswer,
                               Cancel,
                               RunRequest,
                               RunAnswer,
                               ControlCall,
                               ControlReply,
                               ShareRequest,
                               ShareReply,
                               LeaseCall,
                               LeaseReply,
                               Goodbye>;

}  // namespace jackdawrack

#include <algorithm>

#include "control_timing.h"
#include "policy/config_exchange.h"
#include "policy/control_policy.h"
#include "policy/push_topology.h"

namespace jackdawrack {

ControlMessage ControlPolicy::OnRequest(const InstanceId& from,
                                        const FailureDomain& from_domain,
                                        const ControlMessage& message,
                                        TimePoint now) {
  std::vector<MemberStatus> changed;
  MergeMemberStatuses(from_domain, message, changed, now);
  if (!message.m_values.empty() || !message.m_tree_root.IsEmpty()) {
    OnPush(from_domain, message, std::move(changed), now);
  }
  RefreshView();

  // Probe the instance that the caller could not reach
  if (!message.m_probe_target.IsEmpty()) {
    if (const Instance* target = FindInstance(message.m_probe_target)) {
      Probe(Instance(*target), from, now);
    }
  }

  // Build the reply
  ControlMessage reply;
  reply.m_kind = message.m_kind;
  AddSenderState(reply, from_domain, message.m_sender, now);
  if (message.m_kind == ControlKind::kProbe &&
      message.m_root_hash != reply.m_root_hash) {
    AddBucketHashes(m_store, reply);
  }
  if (message.m_kind == ControlKind::kCompare) {
    AnswerCompareRequest(m_store, message, reply);
  }
  return reply;
}

void ControlPolicy::OnReply(std::uint64_t token,
                            const std::optional<ControlMessage>& reply,
                            TimePoint now) {
  const auto found = m_pending_calls.find(token);
  if (found == m_pending_calls.end()) {
    return;
  }
  const PendingCall pending = found->second;
  m_pending_calls.erase(found);
  if (reply) {
    OnCallAnswered(pending, *reply, now);
  } else {
    OnCallFailed(pending, now);
  }
  RefreshView();
}

void ControlPolicy::OnCallAnswered(const PendingCall& pending,
                                   const ControlMessage& reply,
                                   TimePoint now) {
  const Instance& peer = pending.m_target;
  std::vector<MemberStatus> changed;
  MergeMemberStatuses(peer.m_domain, reply, changed, now);

  // Merge newer values of the peer; push those from another domain in this one
  const std::vector<PublishedValue> applied = MergeValues(reply.m_values);
  RefreshView();
  if (m_joined && peer.m_domain != m_settings.m_domain) {
    StartPush(applied, now);
  }

  // Send the values that the peer requested
  if (!reply.m_requested_names.empty()) {
    ControlMessage message;
    message.m_kind = ControlKind::kValues;
    AddValues(m_store, reply.m_requested_names, message);
    Send(peer, std::move(message), now);
  }
  const bool is_equal = reply.m_root_hash == m_store.RootHash();
  if (!is_equal && reply.m_bucket_hashes.size() == kDigestBuckets) {
    Send(peer, MakeCompareRequest(m_store, reply.m_bucket_hashes), now);
  } else if (reply.m_has_more) {
    Probe(peer, {}, now);
  }

  // If both configurations are equal, the peer's age applies here as well
  const bool has_compared =
      pending.m_kind == ControlKind::kCompare && !reply.m_has_more;
  if (is_equal || has_compared) {
    m_has_matched_peer = true;
  }
  if (is_equal && reply.m_has_config_age) {
    ConfirmConfig(pending.m_sent_at - Milliseconds(reply.m_config_age_ms));
  }
  UpdateJoined(now);

  // Report the answered probe to the instance that requested it
  if (!pending.m_requested_by.IsEmpty()) {
    if (const Instance* requester = FindInstance(pending.m_requested_by)) {
      ControlMessage message;
      message.m_member_statuses.push_back(m_members.StatusOf(peer.m_id));
      Send(Instance(*requester), std::move(message), now);
    }
  }
}

void ControlPolicy::MergeMemberStatuses(const FailureDomain& from_domain,
                                        const ControlMessage& message,
                                        std::vector<MemberStatus>& changed,
                                        TimePoint now) {
  m_last_message_at = now;
  if (m_members.Merge(message.m_sender, from_domain, now)) {
    changed.push_back(message.m_sender);
  }
  for (const MemberStatus& status : message.m_member_statuses) {
    if (m_members.Merge(status, from_domain, now) &&
        status.m_instance != m_settings.m_id) {
      changed.push_back(status);
    }
  }
}

void ControlPolicy::OnPush(const FailureDomain& from_domain,
                           const ControlMessage& message,
                           std::vector<MemberStatus> changed,
                           TimePoint now) {
  std::vector<PublishedValue> applied = MergeValues(message.m_values);

  // Forward deferred values with this push instead of pushing them again later
  const std::vector<PublishedValue> deferred =
      TakeDeferredValues(message.m_values);
  applied.insert(applied.end(), deferred.begin(), deferred.end());
  RefreshView();
  const bool is_tree_push = !message.m_tree_root.IsEmpty();

  // Start a push tree in this domain for a push from another domain
  if (from_domain != m_settings.m_domain) {
    if (m_joined) {
      StartPush(applied, now);
    }
    if (is_tree_push && !changed.empty()) {
      SendToTreeChildren(m_settings.m_id, {}, changed, now);
    }
    return;
  }
  if (is_tree_push && (!applied.empty() || !changed.empty())) {
    SendToTreeChildren(message.m_tree_root, applied, changed, now);
  }
}

void ControlPolicy::Send(const Instance& target,
                         ControlMessage message,
                         TimePoint now,
                         InstanceId requested_by) {
  const MemberStatus known = m_members.StatusOf(target.m_id);
  AddSenderState(
      message, target.m_domain,
      MemberStatus{target.m_id, MemberState::kAlive, known.m_incarnation}, now);
  const std::uint64_t token = ++m_last_token;
  m_pending_calls[token] =
      PendingCall{target, message.m_kind, now, std::move(requested_by)};
  m_decisions.m_outgoing_calls.push_back(
      OutgoingControlCall{target, token, std::move(message)});
}

void ControlPolicy::AddSenderState(ControlMessage& message,
                                   const FailureDomain& to_domain,
                                   const MemberStatus& receiver,
                                   TimePoint now) {
  message.m_sender = m_members.OwnStatus();
  message.m_root_hash = m_store.RootHash();
  message.m_has_config_age = m_config_confirmed_at.has_value();
  if (m_config_confirmed_at) {
    const auto age =
        std::chrono::duration_cast<Milliseconds>(now - *m_config_confirmed_at);
    message.m_config_age_ms =
        static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
  }

  // Report a state of the receiver that differs from its own, for it to refute
  const MemberStatus known = m_members.StatusOf(receiver.m_instance);
  if (known != receiver) {
    message.m_member_statuses.push_back(known);
  }
  for (MemberStatus& status :
       m_members.TakeUpdates(kMaxStatusesPerMessage, to_domain)) {
    message.m_member_statuses.push_back(std::move(status));
  }
}

std::vector<PublishedValue> ControlPolicy::MergeValues(
    const std::vector<PublishedValue>& values) {
  std::vector<PublishedValue> applied;
  for (const PublishedValue& value : values) {
    ConfigMergeReport report;
    report.m_value = value;
    const bool had_conflict = m_store.HasConflict(value.m_name);
    const ConfigMergeResult result = m_store.Merge(value, report.m_problems);
    report.m_result = result;
    report.m_is_conflict = !had_conflict && m_store.HasConflict(value.m_name);
    if (result != ConfigMergeResult::kIgnored || report.m_is_conflict) {
      m_decisions.m_merge_reports.push_back(std::move(report));
    }
    if (result != ConfigMergeResult::kApplied) {
      continue;
    }
    applied.push_back(value);
    m_decisions.m_is_view_changed = true;
    if (value.m_name == kInstanceListName) {
      m_members.SetInstanceList(m_store.State().m_instances);
    }
  }
  return applied;
}

void ControlPolicy::StartPush(std::vector<PublishedValue> values,
                              TimePoint now) {
  if (values.empty()) {
    return;
  }
  m_extra_probes_at = now + kExtraProbeDelay;
  SendToTreeChildren(m_settings.m_id, values, {}, now);
}

void ControlPolicy::SendToTreeChildren(
    const InstanceId& root,
    const std::vector<PublishedValue>& values,
    const std::vector<MemberStatus>& statuses,
    TimePoint now) {
  const auto live = m_live_by_domain.find(m_settings.m_domain);
  if (live == m_live_by_domain.end()) {
    return;
  }
  // Without values, send a single message with the statuses
  std::vector<std::vector<PublishedValue>> batches = SplitIntoBatches(values);
  if (batches.empty()) {
    batches.emplace_back();
  }
  for (const Instance& target :
       PushTreeChildren(live->second, root, m_settings.m_id)) {
    for (const std::vector<PublishedValue>& batch : batches) {
      ControlMessage message;
      message.m_kind = ControlKind::kPush;
      message.m_tree_root = root;
      message.m_values = batch;
      message.m_member_statuses = statuses;
      Send(target, std::move(message), now);
    }
  }
}

void ControlPolicy::RunDeferredPushes(TimePoint now) {
  std::vector<PublishedValue> due;
  std::erase_if(m_deferred_pushes, [&](DeferredPush& push) {
    if (now < push.m_due) {
      return false;
    }
    due.insert(due.end(), push.m_values.begin(), push.m_values.end());
    return true;
  });
  StartPush(std::move(due), now);
}

std::vector<PublishedValue> ControlPolicy::TakeDeferredValues(
    const std::vector<PublishedValue>& values) {
  std::vector<PublishedValue> taken;
  for (DeferredPush& push : m_deferred_pushes) {
    std::erase_if(push.m_values, [&](const PublishedValue& deferred) {
      const bool is_contained =
          std::find(values.begin(), values.end(), deferred) != values.end();
      if (is_contained) {
        taken.push_back(deferred);
      }
      return is_contained;
    });
  }
  std::erase_if(m_deferred_pushes,
                [](const DeferredPush& push) { return push.m_values.empty(); });
  return taken;
}

}  // namespace jackdawrack

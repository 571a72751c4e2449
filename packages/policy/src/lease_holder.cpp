#include "policy/lease_holder.h"

#include <algorithm>
#include <set>

namespace jackdawrack {

LeaseHolder::LeaseHolder(LeaseTiming timing) : m_timing(timing) {}

void LeaseHolder::SetInstanceList(const std::vector<InstanceId>& instance_list,
                                  TimePoint now) {
  if (instance_list == m_instance_list) {
    return;
  }
  // Further changes during the joint quorum period keep the previous list
  if (!NeedsJointQuorum(now)) {
    m_previous_instance_list = m_instance_list;
  }
  if (!m_instance_list.empty()) {
    m_joint_quorum_until = now + m_timing.m_joint_quorum_period;
  }
  m_instance_list = instance_list;
}

std::uint64_t LeaseHolder::StartRound(const std::vector<KeySlot>& slots,
                                      TimePoint now,
                                      UnixMs wall_now) {
  ++m_last_round;
  for (const KeySlot slot : slots) {
    SlotState& state = m_slots[slot];
    state.m_round = m_last_round;
    state.m_round_start = now;
    state.m_round_wall_start = wall_now;
    state.m_grants.clear();
  }
  return m_last_round;
}

void LeaseHolder::OnVotes(const InstanceId& witness,
                          const LeaseVotes& votes,
                          TimePoint now,
                          UnixMs wall_now) {
  for (const LeaseGrant& grant : votes.m_grants) {
    const auto found = m_slots.find(grant.m_slot);
    if (found == m_slots.end() || found->second.m_round != votes.m_round) {
      continue;
    }
    found->second.m_grants[witness] = wall_now - grant.m_no_other_holder_ms;
    UpdateLease(grant.m_slot, found->second, now, wall_now);
  }
}

std::optional<HeldLease> LeaseHolder::FindLease(KeySlot slot,
                                                TimePoint now,
                                                UnixMs wall_now) const {
  const auto found = m_slots.find(slot);
  if (found == m_slots.end() || !found->second.m_lease) {
    return std::nullopt;
  }
  // Check both clocks: the monotonic clock may stop while the instance is
  // suspended
  const HeldLease& lease = *found->second.m_lease;
  if (now >= lease.m_end || wall_now >= lease.m_wall_end) {
    return std::nullopt;
  }
  HeldLease held = lease;
  held.m_floor = std::max(held.m_floor, found->second.m_raised_floor);
  held.m_is_floor_final = IsFloorFinal(slot, found->second, now);
  return held;
}

bool LeaseHolder::IsFloorFinal(KeySlot slot,
                               const SlotState& state,
                               TimePoint now) const {
  return now >= state.m_round_start + kVoteTimeout ||
         state.m_grants.size() >= WitnessesToContact(slot, now).size();
}

void LeaseHolder::Drop(KeySlot slot) {
  const auto found = m_slots.find(slot);
  if (found != m_slots.end()) {
    found->second.m_round = 0;
    found->second.m_grants.clear();
    found->second.m_lease.reset();
  }
}

void LeaseHolder::RaiseFloor(KeySlot slot, UnixMs floor) {
  SlotState& state = m_slots[slot];
  state.m_raised_floor = std::max(state.m_raised_floor, floor);
}

std::vector<InstanceId> LeaseHolder::WitnessesToContact(KeySlot slot,
                                                        TimePoint now) const {
  std::vector<InstanceId> witnesses = WitnessesOf(slot, m_instance_list);
  std::set<InstanceId> all(witnesses.begin(), witnesses.end());
  if (NeedsJointQuorum(now)) {
    witnesses = WitnessesOf(slot, m_previous_instance_list);
    all.insert(witnesses.begin(), witnesses.end());
  }
  return {all.begin(), all.end()};
}

std::size_t LeaseHolder::GrantCount(KeySlot slot) const {
  const auto found = m_slots.find(slot);
  return found == m_slots.end() ? 0 : found->second.m_grants.size();
}

void LeaseHolder::UpdateLease(KeySlot slot,
                              SlotState& state,
                              TimePoint now,
                              UnixMs wall_now) {
  // Require a quorum of each instance list in use
  auto floor = QuorumFloor(WitnessesOf(slot, m_instance_list), state.m_grants);
  if (!floor) {
    return;
  }
  if (NeedsJointQuorum(now)) {
    const auto previous_floor = QuorumFloor(
        WitnessesOf(slot, m_previous_instance_list), state.m_grants);
    if (!previous_floor) {
      return;
    }
    floor = std::max(*floor, *previous_floor);
  }

  // The floor of a lease that is still held stays valid; keep the lower one
  if (FindLease(slot, now, wall_now)) {
    floor = std::min(*floor, state.m_lease->m_floor);
  }
  const UnixMs wall_end =
      state.m_round_wall_start + m_timing.m_lease_duration.count();
  state.m_lease = HeldLease{state.m_round_start + m_timing.m_lease_duration,
                            wall_end, *floor};
}

// Returns the earliest time since which all members of some quorum have had no
// promise to another holder; nothing if the grants form no quorum.
std::optional<UnixMs> LeaseHolder::QuorumFloor(
    const std::vector<InstanceId>& witnesses,
    const std::map<InstanceId, UnixMs>& grants) {
  std::vector<UnixMs> since;
  for (const InstanceId& witness : witnesses) {
    const auto found = grants.find(witness);
    if (found != grants.end()) {
      since.push_back(found->second);
    }
  }
  const std::size_t quorum = WitnessQuorum(witnesses.size());
  if (witnesses.empty() || since.size() < quorum) {
    return std::nullopt;
  }
  std::sort(since.begin(), since.end());
  return since[quorum - 1];
}

}  // namespace jackdawrack

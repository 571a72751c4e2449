#include "lease_manager.h"

#include <boost/asio/post.hpp>

#include "core/random.h"

namespace jackdawrack {
namespace {

/// Interval of acquisition attempts for a slot that is not held. Longer than
/// the round trip to any witness, because votes of an earlier round are
/// dropped.
constexpr Milliseconds kAcquireInterval{150};

/// Interval at which claims are sent to holders.
constexpr Milliseconds kClaimInterval{200};

/// Time after the last request for a slot during which its lease is renewed
/// although another instance is preferred. Slots taken over from another holder
/// are kept for the same time.
constexpr Milliseconds kHeldDemandWindow{10'000};

/// Time after the last request for a slot during which this instance tries to
/// acquire it although another instance is preferred.
constexpr Milliseconds kAcquireDemandWindow{400};

/// After a round with split votes, an instance that would otherwise keep its
/// grants yields with a probability of one in this number.
constexpr std::uint64_t kRandomYieldOneIn = 8;

}  // namespace

std::vector<KeySlot> LeaseManager::SlotsToRequest(
    std::vector<KeySlot>& released) {
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  std::vector<KeySlot> slots;
  if (m_listed_instances.empty() || !m_witness.IsActive(now)) {
    return slots;
  }
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    const bool is_held =
        m_lease_holder.FindLease(slot, now, clock.WallNowMs()).has_value();
    const Milliseconds interval =
        is_held ? m_timing.m_renew_interval : kAcquireInterval;
    if (m_last_request_at[slot] + interval > now ||
        !ShouldRequest(slot, is_held, now) || (m_is_leaving && !is_held)) {
      continue;
    }
    m_last_request_at[slot] = now;

    // Give the grants back after a split vote, so that another instance can
    // reach a quorum
    const bool yields = !is_held && ShouldYield(slot, now);
    m_denial_tallies.erase(slot);
    if (yields) {
      m_lease_holder.Drop(slot);
      released.push_back(slot);
      continue;
    }
    slots.push_back(slot);
  }
  return slots;
}

bool LeaseManager::ShouldRequest(KeySlot slot,
                                 bool is_held,
                                 TimePoint now) const {
  if (WasRecentlyTakenOver(slot, now)) {
    return true;
  }
  if (!m_preference_order[slot].empty() &&
      m_preference_order[slot].front() == m_self.m_instance) {
    return true;
  }
  const auto last_demand = m_last_demand_at.find(slot);
  const Milliseconds window =
      is_held ? kHeldDemandWindow : kAcquireDemandWindow;
  return last_demand != m_last_demand_at.end() &&
         last_demand->second + window > now;
}

bool LeaseManager::WasRecentlyTakenOver(KeySlot slot, TimePoint now) const {
  const auto taken_over_at = m_taken_over_at.find(slot);
  return taken_over_at != m_taken_over_at.end() &&
         taken_over_at->second + kHeldDemandWindow > now;
}

// Yields only after a split vote, in which so many witnesses denied the slot
// that the rest can't form a quorum. The instance with fewer votes, or the less
// preferred one, yields. Because instances may see different preference orders
// and then all keep their grants, the others sometimes yield at random as well.
bool LeaseManager::ShouldYield(KeySlot slot, TimePoint now) const {
  const auto tally = m_denial_tallies.find(slot);
  const std::size_t grants = m_lease_holder.GrantCount(slot);
  if (tally == m_denial_tallies.end() || grants == 0 ||
      WasRecentlyTakenOver(slot, now)) {
    return false;
  }
  const std::size_t count = m_lease_holder.WitnessesToContact(slot, now).size();
  if (tally->second.m_count + WitnessQuorum(count) <= count) {
    return false;
  }
  return tally->second.m_count >= grants ||
         IsPreferredOver(tally->second.m_holder, m_self.m_instance, slot) ||
         RandomBelow(kRandomYieldOneIn) == 0;
}

bool LeaseManager::IsPreferredOver(const InstanceId& a,
                                   const InstanceId& b,
                                   KeySlot slot) const {
  for (const InstanceId& instance : m_preference_order[slot]) {
    if (instance == a || instance == b) {
      return instance == a && a != b;
    }
  }
  return false;
}

LeaseManager::RequestsByWitness LeaseManager::MakeWitnessRequests(
    const std::vector<KeySlot>& slots,
    const std::vector<KeySlot>& released) {
  RequestsByWitness requests;
  if (slots.empty() && released.empty()) {
    return requests;
  }
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  const std::uint64_t round =
      m_lease_holder.StartRound(slots, now, clock.WallNowMs());
  for (const KeySlot slot : slots) {
    for (const InstanceId& witness :
         m_lease_holder.WitnessesToContact(slot, now)) {
      requests[witness].m_slots.push_back(slot);
    }
  }
  for (const KeySlot slot : released) {
    for (const InstanceId& witness :
         m_lease_holder.WitnessesToContact(slot, now)) {
      requests[witness].m_released.push_back(slot);
    }
  }
  for (auto& [witness, request] : requests) {
    request.m_requester = m_self;
    request.m_round = round;
  }
  return requests;
}

void LeaseManager::SendWitnessRequests(RequestsByWitness requests) {
  for (auto& [witness, request] : requests) {
    CallPeer(witness, std::move(request),
             [weak = weak_from_this(),
              witness = witness](const std::optional<LeaseReplyBody>& reply) {
               const auto self = weak.lock();
               if (self == nullptr || !reply) {
                 return;
               }
               if (const auto* votes = std::get_if<LeaseVotes>(&*reply)) {
                 self->OnVotes(witness, *votes);
               }
             });
  }
}

void LeaseManager::OnVotes(const InstanceId& witness, const LeaseVotes& votes) {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  m_lease_holder.OnVotes(witness, votes, clock.Now(), clock.WallNowMs());
  for (const LeaseDenial& denial : votes.m_denials) {
    if (denial.m_holder.IsEmpty() || denial.m_holder == m_self.m_instance ||
        denial.m_slot >= kKeySlotCount) {
      continue;
    }
    m_last_known_holder[denial.m_slot] = denial.m_holder;
    DenialTally& tally = m_denial_tallies[denial.m_slot];
    tally.m_holder = denial.m_holder;
    ++tally.m_count;

    // Claim slots for which this instance is preferred over the holder
    if (IsPreferredOver(m_self.m_instance, denial.m_holder, denial.m_slot)) {
      m_claims[denial.m_holder].push_back(denial.m_slot);
    }
  }
}

void LeaseManager::SendClaims() {
  SlotsByInstance claims;
  {
    const std::lock_guard lock(m_mutex);
    const TimePoint now = SteadyClock().Now();
    if (now < m_next_claim_time || m_is_leaving) {
      return;
    }
    m_next_claim_time = now + kClaimInterval;
    claims = std::exchange(m_claims, {});
  }
  for (auto& [holder, slots] : claims) {
    std::sort(slots.begin(), slots.end());
    slots.erase(std::unique(slots.begin(), slots.end()), slots.end());
    CallPeer(holder, LeaseClaim{m_self, std::move(slots)},
             [](const std::optional<LeaseReplyBody>&) {});
  }
}

}  // namespace jackdawrack

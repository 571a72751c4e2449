#include "lease_manager.h"

#include <boost/asio/post.hpp>

#include "core/event.h"

namespace jackdawrack {
namespace {

/// Longest time that a hand-over waits for running requests. Keys that still
/// run after it are handed over with an unknown outcome.
constexpr Milliseconds kHandOverWait{1000};

/// Time before the next hand-over to an instance that did not accept the last
/// one.
constexpr Milliseconds kHandOverRetryDelay{1000};

/// Maximum number of slots in one hand-over message.
constexpr std::size_t kMaxSlotsPerHandOver = 8;

}  // namespace

void LeaseManager::HandOverHeldSlots() {
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  SlotsByInstance slots_by_target;
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    if (m_run_guard.IsFrozen(slot) ||
        !m_lease_holder.FindLease(slot, now, clock.WallNowMs())) {
      continue;
    }
    for (const InstanceId& candidate : m_preference_order[slot]) {
      const auto next_hand_over = m_next_hand_over.find(candidate);
      const bool is_blocked = next_hand_over != m_next_hand_over.end() &&
                              now < next_hand_over->second;
      if (candidate != m_self.m_instance && !is_blocked) {
        slots_by_target[candidate].push_back(slot);
        break;
      }
    }
  }
  for (auto& [target, slots] : slots_by_target) {
    BeginHandOver(target, std::move(slots));
  }
}

void LeaseManager::BeginHandOver(const InstanceId& target,
                                 std::vector<KeySlot> slots) {
  if (m_pending_hand_overs.count(target) != 0) {
    return;
  }
  if (slots.size() > kMaxSlotsPerHandOver) {
    slots.resize(kMaxSlotsPerHandOver);
  }
  for (const KeySlot slot : slots) {
    m_run_guard.Freeze(slot);
  }
  m_pending_hand_overs[target] = PendingHandOver{
      std::move(slots), SteadyClock().Now() + kHandOverWait, false};
  boost::asio::post(m_strand, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->SendHandOvers();
    }
  });
}

void LeaseManager::SendHandOvers() {
  std::map<InstanceId, LeaseHandOver> ready;
  {
    const SteadyClock clock;
    const std::lock_guard lock(m_mutex);
    const TimePoint now = clock.Now();
    for (auto& [target, pending] : m_pending_hand_overs) {
      const bool is_running = std::any_of(
          pending.m_slots.begin(), pending.m_slots.end(),
          [&](KeySlot slot) { return m_run_guard.RunningCount(slot) > 0; });
      if (pending.m_is_sent || (is_running && now < pending.m_wait_deadline)) {
        continue;
      }
      pending.m_is_sent = true;
      LeaseHandOver& hand_over = ready[target];
      hand_over.m_from = m_self;
      for (const KeySlot slot : pending.m_slots) {
        if (const auto lease =
                m_lease_holder.FindLease(slot, now, clock.WallNowMs())) {
          hand_over.m_slots.push_back(m_run_guard.Export(slot, *lease));
        }
      }
    }
  }
  for (auto& [target, hand_over] : ready) {
    std::vector<KeySlot> slots;
    for (const SlotHandOver& slot : hand_over.m_slots) {
      slots.push_back(slot.m_slot);
    }
    CallPeer(target, std::move(hand_over),
             [weak = weak_from_this(), target = target,
              slots](const std::optional<LeaseReplyBody>& reply) {
               if (const auto self = weak.lock()) {
                 // Witnesses reject a request whose round number is not greater
                 // than the last one, so all requests are sent from the strand
                 // in order
                 boost::asio::post(
                     self->m_strand, [self, target, slots, reply] {
                       self->OnHandOverReply(target, slots, reply);
                     });
               }
             });
  }
}

void LeaseManager::OnHandOverReply(const InstanceId& target,
                                   const std::vector<KeySlot>& slots,
                                   const std::optional<LeaseReplyBody>& reply) {
  const LeaseHandOverReply* hand_over_reply =
      reply ? std::get_if<LeaseHandOverReply>(&*reply) : nullptr;
  const bool is_accepted =
      hand_over_reply != nullptr && hand_over_reply->m_is_accepted;
  RequestsByWitness requests;
  {
    const SteadyClock clock;
    const std::lock_guard lock(m_mutex);
    const TimePoint now = clock.Now();

    // The target has the keys now. Drop the leases first, so that nothing more
    // runs here, then have the witnesses transfer their promises to the target
    if (is_accepted) {
      const std::uint64_t round =
          m_lease_holder.StartRound({}, now, clock.WallNowMs());
      for (const KeySlot slot : slots) {
        m_lease_holder.Drop(slot);
        m_last_demand_at.erase(slot);
        m_taken_over_at.erase(slot);
        m_last_known_holder[slot] = target;
        for (const InstanceId& witness :
             m_lease_holder.WitnessesToContact(slot, now)) {
          requests[witness].m_transferred.push_back(slot);
        }
      }
      for (auto& [witness, request] : requests) {
        request.m_requester = m_self;
        request.m_round = round;
        request.m_successor = hand_over_reply->m_new_holder;
      }
    } else {
      m_next_hand_over[target] = now + kHandOverRetryDelay;
    }
    const auto pending = m_pending_hand_overs.find(target);
    if (pending != m_pending_hand_overs.end()) {
      for (const KeySlot slot : pending->second.m_slots) {
        m_run_guard.Unfreeze(slot);
      }
      m_pending_hand_overs.erase(pending);
    }
  }
  if (is_accepted) {
    LogEvent(EventId::kLeaseHandedOver, "slots={} to={}", slots.size(),
             target.Text());
  }
  SendWitnessRequests(std::move(requests));
}

}  // namespace jackdawrack

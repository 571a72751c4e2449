#include "lease_manager.h"

#include <boost/asio/post.hpp>

#include "core/event.h"

namespace jackdawrack {
namespace {

/// Longest time that a hand-over waits for running requests. Keys that still
/// run after it are handed over with an unknown outcome.
constexpr Milliseconds kMoveWait{1000};

/// Time before the next hand-over to an instance that did not accept the last
/// one.
constexpr Milliseconds kMoveRetry{1000};

/// Maximum number of slots in one hand-over message.
constexpr std::size_t kMaxSlotsPerMove = 8;

}  // namespace

void LeaseManager::MoveHeldSlots() {
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  SlotsByInstance moves;
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    if (m_run_guard.IsFrozen(slot) ||
        !m_lease_holder.Held(slot, now, clock.WallNowMs())) {
      continue;
    }
    for (const InstanceId& candidate : m_preference_order[slot]) {
      const auto blocked = m_no_move_before.find(candidate);
      const bool is_blocked =
          blocked != m_no_move_before.end() && now < blocked->second;
      if (candidate != m_self.m_instance && !is_blocked) {
        moves[candidate].push_back(slot);
        break;
      }
    }
  }
  for (auto& [target, slots] : moves) {
    BeginMove(target, std::move(slots));
  }
}

void LeaseManager::BeginMove(const InstanceId& target,
                             std::vector<KeySlot> slots) {
  if (m_moves.count(target) != 0) {
    return;
  }
  if (slots.size() > kMaxSlotsPerMove) {
    slots.resize(kMaxSlotsPerMove);
  }
  for (const KeySlot slot : slots) {
    m_run_guard.Freeze(slot);
  }
  m_moves[target] =
      Move{std::move(slots), SteadyClock().Now() + kMoveWait, false};
  boost::asio::post(m_strand, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->SendMoves();
    }
  });
}

void LeaseManager::SendMoves() {
  std::map<InstanceId, LeaseHandOver> ready;
  {
    const SteadyClock clock;
    const std::lock_guard lock(m_mutex);
    const TimePoint now = clock.Now();
    for (auto& [target, move] : m_moves) {
      const bool is_running = std::any_of(
          move.m_slots.begin(), move.m_slots.end(),
          [&](KeySlot slot) { return m_run_guard.RunningCount(slot) > 0; });
      if (move.m_is_sent || (is_running && now < move.m_give_up_waiting)) {
        continue;
      }
      move.m_is_sent = true;
      LeaseHandOver& hand_over = ready[target];
      hand_over.m_from = m_self;
      for (const KeySlot slot : move.m_slots) {
        if (const auto lease =
                m_lease_holder.Held(slot, now, clock.WallNowMs())) {
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
    Call(target, std::move(hand_over),
         [weak = weak_from_this(), target = target,
          slots](const std::optional<LeaseReplyBody>& reply) {
           if (const auto self = weak.lock()) {
             // Witnesses ignore a request with a lower number than the last
             // one, so all requests are sent from the strand in order
             boost::asio::post(self->m_strand, [self, target, slots, reply] {
               self->OnMoved(target, slots, reply);
             });
           }
         });
  }
}

void LeaseManager::OnMoved(const InstanceId& target,
                           const std::vector<KeySlot>& slots,
                           const std::optional<LeaseReplyBody>& reply) {
  const LeaseHandOverReply* taken =
      reply ? std::get_if<LeaseHandOverReply>(&*reply) : nullptr;
  const bool is_taken = taken != nullptr && taken->m_is_accepted;
  RequestsByWitness requests;
  {
    const SteadyClock clock;
    const std::lock_guard lock(m_mutex);
    const TimePoint now = clock.Now();

    // The target has the keys now. Drop the leases first, so that nothing more
    // runs here, then have the witnesses transfer their promises to the target
    if (is_taken) {
      const std::uint64_t number =
          m_lease_holder.StartRound({}, now, clock.WallNowMs());
      for (const KeySlot slot : slots) {
        m_lease_holder.Drop(slot);
        m_last_demand_at.erase(slot);
        m_taken_over_at.erase(slot);
        m_last_known_holder[slot] = target;
        for (const InstanceId& witness :
             m_lease_holder.WitnessesToAsk(slot, now)) {
          requests[witness].m_transferred.push_back(slot);
        }
      }
      for (auto& [witness, request] : requests) {
        request.m_asker = m_self;
        request.m_number = number;
        request.m_successor = taken->m_taker;
      }
    } else {
      m_no_move_before[target] = now + kMoveRetry;
    }
    const auto move = m_moves.find(target);
    if (move != m_moves.end()) {
      for (const KeySlot slot : move->second.m_slots) {
        m_run_guard.Thaw(slot);
      }
      m_moves.erase(move);
    }
  }
  if (is_taken) {
    LogEvent(EventId::kLeaseHandedOver, "slots={} to={}", slots.size(),
             target.Text());
  }
  SendWitnessRequests(std::move(requests));
}

}  // namespace jackdawrack

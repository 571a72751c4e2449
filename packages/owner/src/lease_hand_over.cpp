#include "lease_keeper.h"

#include <boost/asio/post.hpp>

#include "core/event.h"

namespace jackdawrack {
namespace {

/// Longest time that a hand-over waits for running requests; those that run
/// longer are handed over as unknown.
constexpr Milliseconds kMoveWait{1000};

/// Time before a hand-over is tried again with an instance that did not take
/// it.
constexpr Milliseconds kMoveRetry{1000};

/// Slots handed over in one frame.
constexpr std::size_t kMaxSlotsPerMove = 8;

}  // namespace

void LeaseKeeper::MoveHeldSlots() {
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  SlotsByInstance moves;
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    if (m_guard.IsFrozen(slot) ||
        !m_leases.FindLease(slot, now, clock.WallNowMs())) {
      continue;
    }
    for (const InstanceId& candidate : m_order[slot]) {
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

void LeaseKeeper::BeginMove(const InstanceId& target,
                            std::vector<KeySlot> slots) {
  if (m_moves.count(target) != 0) {
    return;
  }
  if (slots.size() > kMaxSlotsPerMove) {
    slots.resize(kMaxSlotsPerMove);
  }
  for (const KeySlot slot : slots) {
    m_guard.Freeze(slot);
  }
  m_moves[target] =
      Move{std::move(slots), SteadyClock().Now() + kMoveWait, false};
  boost::asio::post(m_strand, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->SendMoves();
    }
  });
}

void LeaseKeeper::SendMoves() {
  std::map<InstanceId, LeaseHandOver> ready;
  {
    const SteadyClock clock;
    const std::lock_guard lock(m_mutex);
    const TimePoint now = clock.Now();
    for (auto& [target, move] : m_moves) {
      const bool is_running = std::any_of(
          move.m_slots.begin(), move.m_slots.end(),
          [&](KeySlot slot) { return m_guard.RunningCount(slot) > 0; });
      if (move.m_is_sent || (is_running && now < move.m_give_up_waiting)) {
        continue;
      }
      move.m_is_sent = true;
      LeaseHandOver& hand_over = ready[target];
      hand_over.m_from = m_self;
      for (const KeySlot slot : move.m_slots) {
        if (const auto lease =
                m_leases.FindLease(slot, now, clock.WallNowMs())) {
          hand_over.m_slots.push_back(m_guard.Export(slot, *lease));
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
             // Asks leave one strand in order of their numbers
             boost::asio::post(self->m_strand, [self, target, slots, reply] {
               self->OnMoved(target, slots, reply);
             });
           }
         });
  }
}

void LeaseKeeper::OnMoved(const InstanceId& target,
                          const std::vector<KeySlot>& slots,
                          const std::optional<LeaseReplyBody>& reply) {
  const LeaseHandOverReply* taken =
      reply ? std::get_if<LeaseHandOverReply>(&*reply) : nullptr;
  const bool is_taken = taken != nullptr && taken->m_is_accepted;
  Asks asks;
  {
    const SteadyClock clock;
    const std::lock_guard lock(m_mutex);
    const TimePoint now = clock.Now();

    // The taker has the keys: run nothing more, then pass on the promises
    if (is_taken) {
      const std::uint64_t number =
          m_leases.StartRound({}, now, clock.WallNowMs());
      for (const KeySlot slot : slots) {
        m_leases.Drop(slot);
        m_demanded.erase(slot);
        m_taken.erase(slot);
        m_holder_of[slot] = target;
        for (const InstanceId& witness :
             m_leases.WitnessesToContact(slot, now)) {
          asks[witness].m_transferred.push_back(slot);
        }
      }
      for (auto& [witness, ask] : asks) {
        ask.m_requester = m_self;
        ask.m_round = number;
        ask.m_successor = taken->m_new_holder;
      }
    } else {
      m_no_move_before[target] = now + kMoveRetry;
    }
    const auto move = m_moves.find(target);
    if (move != m_moves.end()) {
      for (const KeySlot slot : move->second.m_slots) {
        m_guard.Unfreeze(slot);
      }
      m_moves.erase(move);
    }
  }
  if (is_taken) {
    LogEvent(EventId::kLeaseHandedOver, "slots={} to={}", slots.size(),
             target.Text());
  }
  SendAsks(std::move(asks));
}

}  // namespace jackdawrack

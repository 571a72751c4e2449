#include "lease_keeper.h"

#include <boost/asio/post.hpp>

#include "core/event.h"
#include "core/random.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kTick{50};

/// Interval at which a slot that is not held is asked for; longer than the
/// round trip to any witness.
constexpr Milliseconds kAskInterval{150};

/// Interval of claims sent to holders.
constexpr Milliseconds kClaimInterval{200};

/// Time after the last request in which a slot is kept that another instance
/// is preferred for.
constexpr Milliseconds kDemandWindow{10'000};

/// Time after the last request in which a slot is asked for that another
/// instance is preferred for.
constexpr Milliseconds kAskWindow{400};

/// Of so many rounds with split votes, the more preferred asker yields in one.
constexpr std::uint64_t kYieldOneIn = 8;

/// Longest time that a hand-over waits for running requests; those that run
/// longer are handed over as unknown.
constexpr Milliseconds kMoveWait{1000};

/// Time before a hand-over is tried again with an instance that did not take
/// it.
constexpr Milliseconds kMoveRetry{1000};

/// Slots handed over in one frame.
constexpr std::size_t kMaxSlotsPerMove = 8;

/// Time after the first vote in which readiness waits for the first rounds.
constexpr Milliseconds kFirstRounds{300};

}  // namespace

LeaseKeeper::LeaseKeeper(boost::asio::io_context& context,
                         LeaseTerms terms,
                         LeaseHolderId self,
                         const FleetViewHolder& holder)
    : m_terms(terms),
      m_self(std::move(self)),
      m_view_holder(holder),
      m_strand(boost::asio::make_strand(context)),
      m_timer(m_strand),
      m_witness(terms, SteadyClock().Now()),
      m_leases(terms),
      m_guard(terms, RunGuardSettings()),
      m_order(kKeySlotCount) {}

void LeaseKeeper::Start(PeerRouter& router) {
  m_router = &router;
  ScheduleTick();
}

void LeaseKeeper::Leave() {
  const std::lock_guard lock(m_mutex);
  m_is_leaving = true;
}

bool LeaseKeeper::HasLeft() const {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    if (m_leases.Held(slot, clock.Now(), clock.WallNowMs())) {
      return false;
    }
  }
  return m_is_leaving;
}

bool LeaseKeeper::IsReady() const {
  const TimePoint from =
      m_witness.ActiveFrom() + m_terms.MintMargin() + kFirstRounds;
  return SteadyClock().Now() >= from;
}

RunAdmission LeaseKeeper::Admit(const RunKey& key, std::uint64_t body_digest) {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  const TimePoint now = clock.Now();
  const UnixMs wall_now = clock.WallNowMs();
  m_demanded[key.m_slot] = now;
  RunAdmission admission;
  admission.m_lease = m_leases.Held(key.m_slot, now, wall_now);
  admission.m_verdict =
      m_guard.Admit(key, body_digest, admission.m_lease, now, wall_now);
  admission.m_is_starting = !m_witness.IsActive(now);
  const auto holder = m_holder_of.find(key.m_slot);
  if (!admission.m_lease && holder != m_holder_of.end()) {
    admission.m_holder = holder->second;
  }
  return admission;
}

std::optional<HeldLease> LeaseKeeper::Held(KeySlot slot) const {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  return m_leases.Held(slot, clock.Now(), clock.WallNowMs());
}

void LeaseKeeper::Settle(const RunKey& key,
                         Outcome outcome,
                         std::string result) {
  const std::lock_guard lock(m_mutex);
  m_guard.Settle(key, outcome, std::move(result));
}

std::optional<KeyRecord> LeaseKeeper::Find(const RunKey& key) const {
  const std::lock_guard lock(m_mutex);
  return m_guard.Find(key);
}

LeaseReplyBody LeaseKeeper::OnCall(LeaseCallBody body) {
  const std::lock_guard lock(m_mutex);
  return std::visit([&](auto& call) { return Answer(call); }, body);
}

LeaseReplyBody LeaseKeeper::Answer(const LeaseAsk& ask) {
  return m_witness.Vote(ask, SteadyClock().Now());
}

LeaseReplyBody LeaseKeeper::Answer(const LeaseClaim& claim) {
  const SteadyClock clock;
  const InstanceId& asker = claim.m_asker.m_instance;

  // Give up only what this view prefers the asker for
  std::vector<KeySlot> slots;
  for (const KeySlot slot : claim.m_slots) {
    const bool is_held =
        slot < kKeySlotCount &&
        m_leases.Held(slot, clock.Now(), clock.WallNowMs()).has_value();
    if (is_held && !m_guard.IsFrozen(slot) &&
        IsBefore(asker, m_self.m_instance, slot)) {
      slots.push_back(slot);
    }
  }
  if (!slots.empty() && m_known.count(asker) != 0) {
    BeginMove(asker, std::move(slots));
  }
  return LeaseHandOverReply{};
}

LeaseReplyBody LeaseKeeper::Answer(LeaseHandOver& hand_over) {
  const TimePoint now = SteadyClock().Now();
  LeaseHandOverReply reply;
  reply.m_taker = m_self;
  if (m_is_leaving || !m_witness.IsActive(now)) {
    return reply;
  }
  for (SlotHandOver& slot : hand_over.m_slots) {
    if (slot.m_slot >= kKeySlotCount) {
      return reply;
    }
    m_leases.RaiseFloor(slot.m_slot, slot.m_floor);
    m_taken[slot.m_slot] = now;
    m_asked.erase(slot.m_slot);
    m_guard.Import(std::move(slot), now);
  }
  reply.m_is_accepted = true;
  return reply;
}

void LeaseKeeper::ScheduleTick() {
  m_timer.expires_after(kTick);
  m_timer.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self != nullptr) {
      self->Tick();
      self->ScheduleTick();
    }
  });
}

void LeaseKeeper::Tick() {
  Asks asks;
  {
    const std::lock_guard lock(m_mutex);
    UpdateView();
    std::vector<KeySlot> released;
    const std::vector<KeySlot> slots = SlotsToAsk(released);
    asks = MakeAsks(slots, released);
    if (m_is_leaving) {
      MoveHeldSlots();
    }
  }
  SendAsks(std::move(asks));
  SendClaims();
  SendMoves();
}

void LeaseKeeper::UpdateView() {
  const auto view = m_view_holder.Get();
  if (view->State().m_instances == m_listed) {
    return;
  }
  m_listed = view->State().m_instances;
  std::vector<InstanceId> listed;
  std::vector<InstanceId> live;
  for (const Instance& instance : m_listed) {
    m_known[instance.m_id] = instance;
    listed.push_back(instance.m_id);
    if (instance.m_state == InstanceState::kLive) {
      live.push_back(instance.m_id);
    }
  }
  m_leases.SetElectorate(listed, SteadyClock().Now());
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    m_order[slot] = HolderOrder(slot, live);
  }
}

std::vector<KeySlot> LeaseKeeper::SlotsToAsk(std::vector<KeySlot>& released) {
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  std::vector<KeySlot> slots;
  if (m_listed.empty() || !m_witness.IsActive(now)) {
    return slots;
  }
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    const bool is_held =
        m_leases.Held(slot, now, clock.WallNowMs()).has_value();
    const Milliseconds interval =
        is_held ? m_terms.m_renew_interval : kAskInterval;
    if (m_asked[slot] + interval > now || !IsWanted(slot, is_held, now) ||
        (m_is_leaving && !is_held)) {
      continue;
    }
    m_asked[slot] = now;

    // Let another asker win if the votes were split
    const bool yields = !is_held && ShouldYield(slot, now);
    m_rivals.erase(slot);
    if (yields) {
      m_leases.Drop(slot);
      released.push_back(slot);
      continue;
    }
    slots.push_back(slot);
  }
  return slots;
}

bool LeaseKeeper::IsWanted(KeySlot slot, bool is_held, TimePoint now) const {
  if (WasTakenLately(slot, now)) {
    return true;
  }
  if (!m_order[slot].empty() && m_order[slot].front() == m_self.m_instance) {
    return true;
  }
  const auto demanded = m_demanded.find(slot);
  const Milliseconds window = is_held ? kDemandWindow : kAskWindow;
  return demanded != m_demanded.end() && demanded->second + window > now;
}

bool LeaseKeeper::WasTakenLately(KeySlot slot, TimePoint now) const {
  const auto taken = m_taken.find(slot);
  return taken != m_taken.end() && taken->second + kDemandWindow > now;
}

// Others have the promises without which no quorum is left. The one with fewer
// votes gives its own back; views of who is preferred may differ, so that
// sometimes the other one does as well.
bool LeaseKeeper::ShouldYield(KeySlot slot, TimePoint now) const {
  const auto rival = m_rivals.find(slot);
  const std::size_t grants = m_leases.GrantsOf(slot);
  if (rival == m_rivals.end() || grants == 0 || WasTakenLately(slot, now)) {
    return false;
  }
  const std::size_t count = m_leases.WitnessesToAsk(slot, now).size();
  if (rival->second.m_denials + WitnessQuorum(count) <= count) {
    return false;
  }
  return rival->second.m_denials >= grants ||
         IsBefore(rival->second.m_holder, m_self.m_instance, slot) ||
         RandomBelow(kYieldOneIn) == 0;
}

bool LeaseKeeper::IsBefore(const InstanceId& a,
                           const InstanceId& b,
                           KeySlot slot) const {
  for (const InstanceId& instance : m_order[slot]) {
    if (instance == a || instance == b) {
      return instance == a && a != b;
    }
  }
  return false;
}

LeaseKeeper::Asks LeaseKeeper::MakeAsks(const std::vector<KeySlot>& slots,
                                        const std::vector<KeySlot>& released) {
  Asks asks;
  if (slots.empty() && released.empty()) {
    return asks;
  }
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  const std::uint64_t number =
      m_leases.StartRound(slots, now, clock.WallNowMs());
  for (const KeySlot slot : slots) {
    for (const InstanceId& witness : m_leases.WitnessesToAsk(slot, now)) {
      asks[witness].m_slots.push_back(slot);
    }
  }
  for (const KeySlot slot : released) {
    for (const InstanceId& witness : m_leases.WitnessesToAsk(slot, now)) {
      asks[witness].m_released.push_back(slot);
    }
  }
  for (auto& [witness, ask] : asks) {
    ask.m_asker = m_self;
    ask.m_number = number;
  }
  return asks;
}

void LeaseKeeper::SendAsks(Asks asks) {
  for (auto& [witness, ask] : asks) {
    Call(witness, std::move(ask),
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

void LeaseKeeper::OnVotes(const InstanceId& witness, const LeaseVotes& votes) {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  m_leases.OnVotes(witness, votes, clock.Now(), clock.WallNowMs());
  for (const LeaseDenial& denial : votes.m_denials) {
    if (denial.m_holder.IsEmpty() || denial.m_holder == m_self.m_instance ||
        denial.m_slot >= kKeySlotCount) {
      continue;
    }
    m_holder_of[denial.m_slot] = denial.m_holder;
    Rival& rival = m_rivals[denial.m_slot];
    rival.m_holder = denial.m_holder;
    ++rival.m_denials;

    // Ask the holder for what this instance is preferred for
    if (IsBefore(m_self.m_instance, denial.m_holder, denial.m_slot)) {
      m_claims[denial.m_holder].push_back(denial.m_slot);
    }
  }
}

void LeaseKeeper::SendClaims() {
  SlotsByInstance claims;
  {
    const std::lock_guard lock(m_mutex);
    const TimePoint now = SteadyClock().Now();
    if (now < m_next_claims || m_is_leaving) {
      return;
    }
    m_next_claims = now + kClaimInterval;
    claims = std::exchange(m_claims, {});
  }
  for (auto& [holder, slots] : claims) {
    std::sort(slots.begin(), slots.end());
    slots.erase(std::unique(slots.begin(), slots.end()), slots.end());
    Call(holder, LeaseClaim{m_self, std::move(slots)},
         [](const std::optional<LeaseReplyBody>&) {});
  }
}

void LeaseKeeper::MoveHeldSlots() {
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  SlotsByInstance moves;
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    if (m_guard.IsFrozen(slot) ||
        !m_leases.Held(slot, now, clock.WallNowMs())) {
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
        if (const auto lease = m_leases.Held(slot, now, clock.WallNowMs())) {
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
        for (const InstanceId& witness : m_leases.WitnessesToAsk(slot, now)) {
          asks[witness].m_transferred.push_back(slot);
        }
      }
      for (auto& [witness, ask] : asks) {
        ask.m_asker = m_self;
        ask.m_number = number;
        ask.m_successor = taken->m_taker;
      }
    } else {
      m_no_move_before[target] = now + kMoveRetry;
    }
    const auto move = m_moves.find(target);
    if (move != m_moves.end()) {
      for (const KeySlot slot : move->second.m_slots) {
        m_guard.Thaw(slot);
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

template <typename Body>
void LeaseKeeper::Call(const InstanceId& target,
                       Body body,
                       PeerService::LeaseSink sink) {
  std::optional<Instance> instance;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_known.find(target);
    if (found != m_known.end()) {
      instance = found->second;
    }
  }
  if (!instance) {
    sink(std::nullopt);
    return;
  }
  m_router->Call(*instance, LeaseCallBody(std::move(body)), std::move(sink));
}

}  // namespace jackdawrack

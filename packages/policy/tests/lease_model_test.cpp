#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "policy/lease_witness.h"
#include "policy/run_guard.h"

namespace jackdawrack {
namespace {

constexpr std::uint32_t kFirstSeed = 5101;
constexpr int kSchedules = 400;
constexpr int kStepsPerSchedule = 1500;
constexpr std::size_t kInstances = 5;
constexpr UnixMs kWallStart = 1'700'000'000'000;
constexpr KeySlot kSlot = 7;

/// Safety rule that a model run disables, to show that the check detects a
/// second execution without it.
enum class Without { kNothing, kLease, kKeyTimestamp, kAbstention };

/// Simulated time in milliseconds since the start of the model.
using ModelMs = std::int64_t;

/// A message in flight.
struct Message {
  ModelMs m_arrives = 0;
  std::size_t m_from = 0;
  std::uint64_t m_from_epoch = 0;
  std::size_t m_to = 0;
  std::optional<LeaseRequest> m_ask;
  std::optional<LeaseVotes> m_votes;
  std::optional<LeaseHandOver> m_hand_over;
  std::optional<LeaseHandOverReply> m_taken;
};

/// One simulated process: both lease roles, a guard, and clocks that deviate by
/// up to the maximum error of `LeaseTiming`.
struct Process {
  std::uint64_t m_epoch = 0;
  ModelMs m_wall_error = 0;
  double m_clock_rate = 1;
  ModelMs m_paused_until = 0;
  std::unique_ptr<LeaseWitness> m_witness;
  std::unique_ptr<LeaseHolder> m_leases;
  std::unique_ptr<RunGuard> m_guard;
  bool m_awaits_taker = false;
};

/// An admitted request that reaches the upstream after a delay.
struct Sending {
  ModelMs m_at = 0;
  std::string m_key;
  UnixMs m_not_after = 0;
};

/// Simulates random interleavings of lease requests, votes, hand-overs, pauses,
/// restarts, instance list changes and resent keys over a few processes.
class LeaseModel final {
 public:
  LeaseModel(std::uint32_t seed, Without without)
      : m_random(seed), m_without(without), m_processes(kInstances) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      m_processes[i].m_wall_error = Between(-100, 100);
      m_processes[i].m_clock_rate = 1 + 0.01 * double(Between(-2, 2));
      Restart(i);
    }
  }

  /// Runs the schedule and returns the maximum number of executions of any key.
  int Run() {
    for (int step = 0; step < kStepsPerSchedule; ++step) {
      m_now += Between(1, 20);
      Deliver();
      SendAdmitted();
      TakeStep(ChooseProcess());
    }
    m_now += 10'000;
    SendAdmitted();
    int most = 0;
    for (const auto& [key, count] : m_executions) {
      most = std::max(most, count);
    }
    return most;
  }

  [[nodiscard]] std::size_t ExecutedKeys() const { return m_executions.size(); }

 private:
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return low + std::int64_t(m_random() % std::uint64_t(high - low + 1));
  }

  // Two neighbouring processes take most steps, to make them compete for the
  // lease. The pair changes at random.
  std::size_t ChooseProcess() {
    if (Between(0, 199) == 0) {
      m_first_rival = std::size_t(Between(0, kInstances - 1));
    }
    const std::int64_t share = Between(0, 99);
    if (share < 50) {
      return m_first_rival;
    }
    return share < 80 ? (m_first_rival + 1) % kInstances
                      : std::size_t(Between(0, kInstances - 1));
  }

  [[nodiscard]] TimePoint Now(std::size_t i) const {
    const double ms = double(m_now) * m_processes[i].m_clock_rate;
    return TimePoint(std::chrono::hours(1)) + Milliseconds(std::int64_t(ms));
  }

  [[nodiscard]] UnixMs Wall(std::size_t i) const {
    return kWallStart + m_now + m_processes[i].m_wall_error;
  }

  static InstanceId Name(std::size_t i) {
    return InstanceId(fmt::format("i-{}", i));
  }

  [[nodiscard]] LeaseHolderId Id(std::size_t i) const {
    return LeaseHolderId{Name(i), m_processes[i].m_epoch};
  }

  void Restart(std::size_t i) {
    Process& process = m_processes[i];
    process.m_epoch = ++m_last_epoch;
    const TimePoint started = m_without == Without::kAbstention
                                  ? Now(i) - m_timing.PromiseDuration()
                                  : Now(i);
    process.m_witness = std::make_unique<LeaseWitness>(m_timing, started);
    process.m_leases = std::make_unique<LeaseHolder>(m_timing);
    process.m_guard = std::make_unique<RunGuard>(m_timing, RunGuardSettings());
    process.m_awaits_taker = false;
    process.m_leases->SetInstanceList(ListSeenBy(i), Now(i));
  }

  // The lists of two processes differ by at most one member, as while a single
  // change propagates.
  std::vector<InstanceId> ListSeenBy(std::size_t i) {
    std::vector<InstanceId> listed;
    for (std::size_t j = 0; j < kInstances; ++j) {
      if (!(m_removed == j && i % 2 == m_sees_removal)) {
        listed.push_back(Name(j));
      }
    }
    return listed;
  }

  void TakeStep(std::size_t i) {
    if (m_now < m_processes[i].m_paused_until) {
      return;
    }
    const std::int64_t kind = Between(0, 99);
    if (kind < 35) {
      Ask(i);
    } else if (kind < 94) {
      Admit(i);
    } else if (kind < 96) {
      HandOver(i, std::size_t(Between(0, kInstances - 1)));
    } else if (kind < 97) {
      m_processes[i].m_paused_until = m_now + Between(100, 3000);
    } else if (kind < 98) {
      Restart(std::size_t(Between(0, kInstances - 1)));
    } else if (Between(0, 3) == 0) {
      ChangeList();
    } else if (Between(0, 3) == 0) {
      m_now += Between(0, 2500);
    }
  }

  void ChangeList() {
    m_removed = std::size_t(Between(0, kInstances));
    m_sees_removal = std::size_t(Between(0, 2));
    for (std::size_t i = 0; i < kInstances; ++i) {
      m_processes[i].m_leases->SetInstanceList(ListSeenBy(i), Now(i));
    }
  }

  void Post(Message message) {
    message.m_arrives =
        m_now + (Between(0, 9) == 0 ? Between(0, 4000) : Between(0, 40));
    if (Between(0, 19) != 0) {
      m_messages.push_back(std::move(message));
    }
  }

  void Ask(std::size_t i) {
    Process& process = m_processes[i];
    LeaseRequest ask;
    ask.m_requester = Id(i);
    const bool gives_up =
        !process.m_leases->FindLease(kSlot, Now(i), Wall(i)) &&
        Between(0, 2) == 0;
    if (gives_up) {
      process.m_leases->Drop(kSlot);
      ask.m_released = {kSlot};
    } else {
      ask.m_slots = {kSlot};
    }
    ask.m_round = process.m_leases->StartRound(ask.m_slots, Now(i), Wall(i));
    SendToAll(i, ask);
  }

  void SendToAll(std::size_t i, const LeaseRequest& ask) {
    for (std::size_t to = 0; to < kInstances; ++to) {
      Message message;
      message.m_from = i;
      message.m_from_epoch = m_processes[i].m_epoch;
      message.m_to = to;
      message.m_ask = ask;
      Post(std::move(message));
    }
  }

  void Admit(std::size_t i) {
    // Take a new key, or resend an earlier one
    if (m_keys.empty() || Between(0, 2) == 0) {
      const UnixMs timestamp = kWallStart + m_now + Between(-150, 150);
      RunKey key;
      key.m_slot = kSlot;
      key.m_timestamp = timestamp;
      key.m_text = fmt::format(
          "c/{:08x}-{:04x}-7000-8000-{:012x}", std::uint64_t(timestamp) >> 16,
          std::uint64_t(timestamp) & 0xffff, m_keys.size());
      m_keys.push_back(key);
    }
    const std::size_t age = std::size_t(Between(
        0, std::min<std::int64_t>(20, std::int64_t(m_keys.size()) - 1)));
    RunKey key = m_keys[m_keys.size() - 1 - age];
    if (m_without == Without::kKeyTimestamp) {
      key.m_timestamp = Wall(i);
    }
    Process& process = m_processes[i];
    auto lease = process.m_leases->FindLease(kSlot, Now(i), Wall(i));
    if (m_without == Without::kLease) {
      lease = HeldLease{Now(i) + m_timing.m_lease_duration,
                        Wall(i) + m_timing.m_lease_duration.count(), 0};
    }
    if (process.m_guard->Admit(key, 1, lease, Now(i), Wall(i)) !=
        RunVerdict::kRun) {
      return;
    }
    m_sendings.push_back(
        Sending{m_now + (Between(0, 5) == 0 ? Between(0, 5000) : 3), key.m_text,
                lease->m_wall_end});
    process.m_guard->RecordOutcome(key, Outcome::kUnknown, "");
  }

  void HandOver(std::size_t i, std::size_t to) {
    Process& process = m_processes[i];
    const auto lease = process.m_leases->FindLease(kSlot, Now(i), Wall(i));
    if (!lease || to == i || process.m_guard->IsFrozen(kSlot)) {
      return;
    }
    process.m_guard->Freeze(kSlot);
    Message message;
    message.m_from = i;
    message.m_from_epoch = process.m_epoch;
    message.m_to = to;
    message.m_hand_over =
        LeaseHandOver{Id(i), {process.m_guard->Export(kSlot, *lease)}};
    Post(std::move(message));
  }

  void Deliver() {
    std::deque<Message> later;
    std::deque<Message> due;
    for (Message& message : m_messages) {
      const bool can_arrive = message.m_arrives <= m_now &&
                              m_now >= m_processes[message.m_to].m_paused_until;
      (can_arrive ? due : later).push_back(std::move(message));
    }
    m_messages = std::move(later);
    std::shuffle(due.begin(), due.end(), m_random);
    for (Message& message : due) {
      Take(message);
    }
  }

  void Take(Message& message) {
    const std::size_t i = message.m_to;
    Process& process = m_processes[i];
    Message reply;
    reply.m_from = i;
    reply.m_from_epoch = message.m_from_epoch;
    reply.m_to = message.m_from;
    if (message.m_ask) {
      reply.m_votes = process.m_witness->Vote(*message.m_ask, Now(i));
      Post(std::move(reply));
    } else if (message.m_hand_over) {
      SlotHandOver& slot = message.m_hand_over->m_slots.front();
      process.m_leases->RaiseFloor(kSlot, slot.m_floor);
      process.m_guard->Import(std::move(slot), Now(i));
      reply.m_taken = LeaseHandOverReply{true, Id(i)};
      Post(std::move(reply));
    } else if (message.m_from_epoch != process.m_epoch) {
      return;
    } else if (message.m_votes) {
      process.m_leases->OnVotes(Name(message.m_from), *message.m_votes, Now(i),
                                Wall(i));
    } else if (message.m_taken && process.m_guard->IsFrozen(kSlot)) {
      PassPromises(i, message.m_taken->m_new_holder);
    }
  }

  void PassPromises(std::size_t i, const LeaseHolderId& taker) {
    Process& process = m_processes[i];
    process.m_leases->Drop(kSlot);
    process.m_guard->Unfreeze(kSlot);
    LeaseRequest ask;
    ask.m_requester = Id(i);
    ask.m_round = process.m_leases->StartRound({}, Now(i), Wall(i));
    ask.m_transferred = {kSlot};
    ask.m_successor = taker;
    SendToAll(i, ask);
  }

  // The upstream's clock has no error; it refuses requests that arrive after
  // their deadline plus the maximum error of the sender's clock.
  void SendAdmitted() {
    std::vector<Sending> later;
    for (Sending& sending : m_sendings) {
      if (sending.m_at > m_now) {
        later.push_back(std::move(sending));
      } else if (kWallStart + m_now <= sending.m_not_after + 100) {
        ++m_executions[sending.m_key];
      }
    }
    m_sendings = std::move(later);
  }

  const LeaseTiming m_timing;
  std::mt19937_64 m_random;
  const Without m_without;
  ModelMs m_now = 0;
  std::uint64_t m_last_epoch = 0;
  std::vector<Process> m_processes;
  std::size_t m_first_rival = 0;
  std::size_t m_removed = kInstances;
  std::size_t m_sees_removal = 0;
  std::deque<Message> m_messages;
  std::vector<RunKey> m_keys;
  std::vector<Sending> m_sendings;
  std::map<std::string, int> m_executions;
};

/// Totals over many schedules.
struct ModelResult {
  int m_most_executions = 0;
  int m_bad_schedules = 0;
  std::size_t m_executed_keys = 0;
};

ModelResult RunSchedules(Without without) {
  ModelResult result;
  for (int schedule = 0; schedule < kSchedules; ++schedule) {
    LeaseModel model(kFirstSeed + std::uint32_t(schedule), without);
    const int most = model.Run();
    result.m_most_executions = std::max(result.m_most_executions, most);
    result.m_bad_schedules += most > 1 ? 1 : 0;
    result.m_executed_keys += model.ExecutedKeys();
  }
  return result;
}

TEST_CASE("no interleaving runs a key twice under the lease") {
  const ModelResult result = RunSchedules(Without::kNothing);
  WARN("seeds " << kFirstSeed << " to " << kFirstSeed + kSchedules - 1
                << ", keys executed " << result.m_executed_keys
                << ", schedules that ran a key twice "
                << result.m_bad_schedules);
  REQUIRE(result.m_most_executions == 1);
  REQUIRE(result.m_executed_keys > std::size_t(kSchedules));
}

TEST_CASE("without any one safety rule some interleaving runs a key twice") {
  for (const Without without :
       {Without::kLease, Without::kKeyTimestamp, Without::kAbstention}) {
    const ModelResult result = RunSchedules(without);
    WARN("disabled rule " << int(without) << ", first seed " << kFirstSeed
                          << ", schedules that ran a key twice "
                          << result.m_bad_schedules << " of " << kSchedules);
    CHECK(result.m_bad_schedules > 0);
  }
}

}  // namespace
}  // namespace jackdawrack

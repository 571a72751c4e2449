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
enum class DisabledRule { kNone, kLease, kKeyTimestamp, kAbstention };

/// Simulated time in milliseconds since the start of the model.
using ModelMs = std::int64_t;

/// A message in flight.
struct Message {
  ModelMs m_arrives = 0;
  std::size_t m_from = 0;
  std::uint64_t m_from_epoch = 0;
  std::size_t m_to = 0;
  std::optional<LeaseRequest> m_request;
  std::optional<LeaseVotes> m_votes;
  std::optional<LeaseHandOver> m_hand_over;
  std::optional<LeaseHandOverReply> m_hand_over_reply;
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
  bool m_awaits_new_holder = false;
};

/// An admitted request that reaches the upstream after a delay.
struct PendingSend {
  ModelMs m_at = 0;
  std::string m_key;
  UnixMs m_not_after = 0;
};

/// Simulates random interleavings of lease requests, votes, hand-overs, pauses,
/// restarts, instance list changes and resent keys over a few processes.
class LeaseModel final {
 public:
  LeaseModel(std::uint32_t seed, DisabledRule disabled_rule)
      : m_random(seed),
        m_disabled_rule(disabled_rule),
        m_processes(kInstances) {
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
      DeliverPendingSends();
      TakeStep(ChooseProcess());
    }
    m_now += 10'000;
    DeliverPendingSends();
    int most = 0;
    for (const auto& [key, count] : m_executions) {
      most = std::max(most, count);
    }
    return most;
  }

  /// Number of keys that were executed at least once.
  [[nodiscard]] std::size_t ExecutedKeys() const { return m_executions.size(); }

 private:
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return low + std::int64_t(m_random() % std::uint64_t(high - low + 1));
  }

  // Two processes take most steps, so that they compete for the lease. The pair
  // changes at random.
  std::size_t ChooseProcess() {
    if (Between(0, 199) == 0) {
      m_busy_process = std::size_t(Between(0, kInstances - 1));
    }
    const std::int64_t share = Between(0, 99);
    if (share < 50) {
      return m_busy_process;
    }
    return share < 80 ? (m_busy_process + 1) % kInstances
                      : std::size_t(Between(0, kInstances - 1));
  }

  [[nodiscard]] TimePoint Now(std::size_t i) const {
    const double ms = double(m_now) * m_processes[i].m_clock_rate;
    return TimePoint(std::chrono::hours(1)) + Milliseconds(std::int64_t(ms));
  }

  [[nodiscard]] UnixMs WallNow(std::size_t i) const {
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
    const TimePoint started = m_disabled_rule == DisabledRule::kAbstention
                                  ? Now(i) - m_timing.PromiseDuration()
                                  : Now(i);
    process.m_witness = std::make_unique<LeaseWitness>(m_timing, started);
    process.m_leases = std::make_unique<LeaseHolder>(m_timing);
    process.m_guard = std::make_unique<RunGuard>(m_timing, RunGuardSettings());
    process.m_awaits_new_holder = false;
    process.m_leases->SetInstanceList(InstanceListOf(i), Now(i));
  }

  // The lists of two processes differ by at most one member, as while a single
  // change propagates.
  std::vector<InstanceId> InstanceListOf(std::size_t i) {
    std::vector<InstanceId> listed;
    for (std::size_t j = 0; j < kInstances; ++j) {
      if (!(m_removed_instance == j && i % 2 == m_removal_parity)) {
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
      RequestLease(i);
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
    m_removed_instance = std::size_t(Between(0, kInstances));
    m_removal_parity = std::size_t(Between(0, 2));
    for (std::size_t i = 0; i < kInstances; ++i) {
      m_processes[i].m_leases->SetInstanceList(InstanceListOf(i), Now(i));
    }
  }

  void Send(Message message) {
    message.m_arrives =
        m_now + (Between(0, 9) == 0 ? Between(0, 4000) : Between(0, 40));
    if (Between(0, 19) != 0) {
      m_messages.push_back(std::move(message));
    }
  }

  void RequestLease(std::size_t i) {
    Process& process = m_processes[i];
    LeaseRequest request;
    request.m_requester = Id(i);
    const bool releases =
        !process.m_leases->FindLease(kSlot, Now(i), WallNow(i)) &&
        Between(0, 2) == 0;
    if (releases) {
      process.m_leases->Drop(kSlot);
      request.m_released = {kSlot};
    } else {
      request.m_slots = {kSlot};
    }
    request.m_round =
        process.m_leases->StartRound(request.m_slots, Now(i), WallNow(i));
    SendToAll(i, request);
  }

  void SendToAll(std::size_t i, const LeaseRequest& request) {
    for (std::size_t to = 0; to < kInstances; ++to) {
      Message message;
      message.m_from = i;
      message.m_from_epoch = m_processes[i].m_epoch;
      message.m_to = to;
      message.m_request = request;
      Send(std::move(message));
    }
  }

  void Admit(std::size_t i) {
    // Use a new key, or resend an earlier one
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
    if (m_disabled_rule == DisabledRule::kKeyTimestamp) {
      key.m_timestamp = WallNow(i);
    }
    Process& process = m_processes[i];
    auto lease = process.m_leases->FindLease(kSlot, Now(i), WallNow(i));
    if (m_disabled_rule == DisabledRule::kLease) {
      lease = HeldLease{Now(i) + m_timing.m_lease_duration,
                        WallNow(i) + m_timing.m_lease_duration.count(), 0};
    }
    if (process.m_guard->Admit(key, 1, lease, Now(i), WallNow(i)) !=
        RunVerdict::kRun) {
      return;
    }
    m_pending_sends.push_back(
        PendingSend{m_now + (Between(0, 5) == 0 ? Between(0, 5000) : 3),
                    key.m_text, lease->m_wall_end});
    process.m_guard->RecordOutcome(key, Outcome::kUnknown, "");
  }

  void HandOver(std::size_t i, std::size_t to) {
    Process& process = m_processes[i];
    const auto lease = process.m_leases->FindLease(kSlot, Now(i), WallNow(i));
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
    Send(std::move(message));
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
      Receive(message);
    }
  }

  void Receive(Message& message) {
    const std::size_t i = message.m_to;
    Process& process = m_processes[i];
    Message reply;
    reply.m_from = i;
    reply.m_from_epoch = message.m_from_epoch;
    reply.m_to = message.m_from;
    if (message.m_request) {
      reply.m_votes = process.m_witness->Vote(*message.m_request, Now(i));
      Send(std::move(reply));
    } else if (message.m_hand_over) {
      SlotHandOver& slot = message.m_hand_over->m_slots.front();
      process.m_leases->RaiseFloor(kSlot, slot.m_floor);
      process.m_guard->Import(std::move(slot), Now(i));
      reply.m_hand_over_reply = LeaseHandOverReply{true, Id(i)};
      Send(std::move(reply));
    } else if (message.m_from_epoch != process.m_epoch) {
      return;
    } else if (message.m_votes) {
      process.m_leases->OnVotes(Name(message.m_from), *message.m_votes, Now(i),
                                WallNow(i));
    } else if (message.m_hand_over_reply && process.m_guard->IsFrozen(kSlot)) {
      TransferPromises(i, message.m_hand_over_reply->m_new_holder);
    }
  }

  void TransferPromises(std::size_t i, const LeaseHolderId& new_holder) {
    Process& process = m_processes[i];
    process.m_leases->Drop(kSlot);
    process.m_guard->Unfreeze(kSlot);
    LeaseRequest request;
    request.m_requester = Id(i);
    request.m_round = process.m_leases->StartRound({}, Now(i), WallNow(i));
    request.m_transferred = {kSlot};
    request.m_successor = new_holder;
    SendToAll(i, request);
  }

  // The upstream's clock has no error; it refuses requests that arrive after
  // their deadline plus the maximum error of the sender's clock.
  void DeliverPendingSends() {
    std::vector<PendingSend> later;
    for (PendingSend& send : m_pending_sends) {
      if (send.m_at > m_now) {
        later.push_back(std::move(send));
      } else if (kWallStart + m_now <= send.m_not_after + 100) {
        ++m_executions[send.m_key];
      }
    }
    m_pending_sends = std::move(later);
  }

  const LeaseTiming m_timing;
  std::mt19937_64 m_random;
  const DisabledRule m_disabled_rule;
  ModelMs m_now = 0;
  std::uint64_t m_last_epoch = 0;
  std::vector<Process> m_processes;
  std::size_t m_busy_process = 0;
  std::size_t m_removed_instance = kInstances;
  std::size_t m_removal_parity = 0;
  std::deque<Message> m_messages;
  std::vector<RunKey> m_keys;
  std::vector<PendingSend> m_pending_sends;
  std::map<std::string, int> m_executions;
};

/// Totals over many schedules.
struct ModelResult {
  int m_most_executions = 0;
  int m_failed_schedules = 0;
  std::size_t m_executed_keys = 0;
};

ModelResult RunSchedules(DisabledRule disabled_rule) {
  ModelResult result;
  for (int schedule = 0; schedule < kSchedules; ++schedule) {
    LeaseModel model(kFirstSeed + std::uint32_t(schedule), disabled_rule);
    const int most = model.Run();
    result.m_most_executions = std::max(result.m_most_executions, most);
    result.m_failed_schedules += most > 1 ? 1 : 0;
    result.m_executed_keys += model.ExecutedKeys();
  }
  return result;
}

TEST_CASE("no interleaving runs a key twice under the lease") {
  const ModelResult result = RunSchedules(DisabledRule::kNone);
  WARN("seeds " << kFirstSeed << " to " << kFirstSeed + kSchedules - 1
                << ", keys executed " << result.m_executed_keys
                << ", schedules that ran a key twice "
                << result.m_failed_schedules);
  REQUIRE(result.m_most_executions == 1);
  REQUIRE(result.m_executed_keys > std::size_t(kSchedules));
}

TEST_CASE("without any one safety rule some interleaving runs a key twice") {
  for (const DisabledRule disabled_rule :
       {DisabledRule::kLease, DisabledRule::kKeyTimestamp,
        DisabledRule::kAbstention}) {
    const ModelResult result = RunSchedules(disabled_rule);
    WARN("disabled rule " << int(disabled_rule) << ", first seed " << kFirstSeed
                          << ", schedules that ran a key twice "
                          << result.m_failed_schedules << " of " << kSchedules);
    CHECK(result.m_failed_schedules > 0);
  }
}

}  // namespace
}  // namespace jackdawrack

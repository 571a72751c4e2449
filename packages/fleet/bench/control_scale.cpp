#include <fmt/format.h>
#include <malloc.h>

#include <ctime>
#include <random>

#include "fleet/control_codec.h"
#include "fleet/control_server.h"
#include "policy/control_policy.h"
#include "policy/fleet_view.h"

// Benchmarks the control plane of one peer that is not a watcher, at the target
// fleet size and without sockets. Reports CPU time, control traffic and memory
// over a few simulated minutes of probes, contract changes and instance
// restarts.
namespace jackdawrack {
namespace {

constexpr std::size_t kInstances = 3'800;
constexpr std::size_t kDomains = 20;
constexpr std::size_t kContracts = 20'000;
constexpr Milliseconds kSimulatedTime{120'000};
constexpr double kDaySeconds = 86'400;
constexpr double kContractChangesPerSecond = 56'000 / kDaySeconds;
/// Each restarted instance causes two status changes: leaving and alive.
constexpr double kStatusChangesPerSecond = 2 * 5'100 / kDaySeconds;
/// Probes received per second; on average equal to the probes sent.
constexpr double kProbesPerSecond = 1.1;
/// Share of probes whose sender has a different configuration: about the
/// propagation time of a change (0.15 s) times the rate of changes.
constexpr double kDifferingProbeShare = 0.1;
constexpr unsigned kSeed = 1;

std::string InstanceName(std::size_t i) {
  return fmt::format("instance-{}", i);
}

FailureDomain DomainOf(std::size_t i) {
  return FailureDomain(fmt::format("domain-{}", i % kDomains));
}

PublishedValue MakeInstanceList() {
  std::string text;
  for (std::size_t i = 0; i < kInstances; ++i) {
    text += fmt::format(
        "[instance {}]\nfailure_domain = {}\npeers = 10.{}.{}.1:7000\n",
        InstanceName(i), DomainOf(i).Text(), i / 250, i % 250);
  }
  return PublishedValue{"instances", 1, text, 0};
}

PublishedValue MakeContract(std::size_t number, std::uint64_t version) {
  return PublishedValue{
      fmt::format("contracts/customer-{}", number), version,
      fmt::format("[contract]\ncustomer = customer-{}\nversion = {}\n\n"
                  "[limits]\ndeadline_ms = 340\nrate_per_second = 1000\n"
                  "concurrency = 100\n\n[query]\nminimum_coverage = 0.99\n\n"
                  "[kind look]\ncollection = data\nidempotent = yes\n\n"
                  "[kind book]\ncollection = data\nidempotent = no\n",
                  number, version),
      0};
}

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double HeapMegabytes() {
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

class Measurement final {
 public:
  Measurement()
      : m_initial_heap_mb(HeapMegabytes()),
        m_policy({InstanceId(InstanceName(0)), DomainOf(0), kSeed},
                 m_clock.Now()) {}

  void Load() {
    std::vector<PublishedValue> values{MakeInstanceList()};
    for (std::size_t i = 0; i < kContracts; ++i) {
      values.push_back(MakeContract(i, 1));
    }
    m_policy.OnTick(m_clock.Now());
    (void)m_policy.NextConfigServiceRead(m_clock.Now());
    m_policy.OnConfigServiceRead(1, values, m_clock.Now());
    ApplyDecisions();
  }

  void Run() {
    const double before = CpuSeconds();
    Milliseconds elapsed{0};
    for (; elapsed < kSimulatedTime; elapsed += kControlTickInterval) {
      m_clock.Advance(kControlTickInterval);
      m_policy.OnTick(m_clock.Now());
      ApplyDecisions();
      SimulatePeers();
    }
    const double elapsed_seconds = static_cast<double>(elapsed.count()) / 1000;
    const double cpu_seconds = CpuSeconds() - before;
    Print("processor time", 100 * cpu_seconds / elapsed_seconds, "% of a core");
    Print("of that, views after a change",
          100 * m_view_seconds / elapsed_seconds, "% of a core");
    Print("control bytes in and out", m_bytes / elapsed_seconds, "B/s");
    Print("control calls in and out", m_calls / elapsed_seconds, "/s");
    Print("control plane's tables", HeapMegabytes() - m_initial_heap_mb, "MB");
  }

 private:
  static void Print(const char* what, double value, const char* unit) {
    fmt::print("| {} | {:.3f} | {} |\n", what, value, unit);
  }

  // Called once per tick; returns true `rate` times per second on average.
  bool IsDue(double rate) {
    const double share = rate * kControlTickInterval.count() / 1000.0;
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
  }

  std::size_t RandomPeer() {
    const std::size_t in_domain = kInstances / kDomains - 1;
    return kDomains * (1 + m_random() % in_domain);
  }

  // Delivers the messages that the rest of the fleet sends during one tick.
  void SimulatePeers() {
    if (IsDue(kProbesPerSecond)) {
      ControlMessage probe = MakePeerMessage(RandomPeer());
      if (std::bernoulli_distribution(kDifferingProbeShare)(m_random)) {
        probe.m_root_hash ^= 1;
      }
      DeliverRequest(probe);
    }
    if (IsDue(kContractChangesPerSecond)) {
      ControlMessage push = MakePeerMessage(RandomPeer());
      push.m_kind = ControlKind::kPush;
      push.m_tree_root = push.m_sender.m_instance;
      push.m_values = {MakeContract(m_random() % kContracts, ++m_version)};
      DeliverRequest(push);
    }
    if (IsDue(kStatusChangesPerSecond)) {
      ControlMessage push = MakePeerMessage(RandomPeer());
      push.m_kind = ControlKind::kPush;
      push.m_tree_root = push.m_sender.m_instance;
      push.m_member_statuses = {NextMemberStatus()};
      DeliverRequest(push);
    }
  }

  MemberStatus NextMemberStatus() {
    ++m_status_changes;
    const std::uint64_t instance =
        1 + (m_status_changes / 2) % (kInstances - 1);
    const bool is_alive = m_status_changes % 2 == 1;
    return MemberStatus{InstanceId(InstanceName(instance)),
                        is_alive ? MemberState::kAlive : MemberState::kLeaving,
                        m_status_changes};
  }

  ControlMessage MakePeerMessage(std::size_t peer) {
    ControlMessage message;
    message.m_sender.m_instance = InstanceId(InstanceName(peer));
    message.m_root_hash = m_policy.Store().RootHash();
    message.m_has_config_age = true;
    message.m_config_age_ms = 1500;
    return message;
  }

  void DeliverRequest(const ControlMessage& message) {
    const std::string request = EncodeControlRequest(message);
    const std::string reply =
        m_server.Handle(request, [&](const ControlMessage& received) {
          return m_policy.OnRequest(received.m_sender.m_instance, DomainOf(0),
                                    received, m_clock.Now());
        });
    m_bytes += static_cast<double>(request.size() + reply.size());
    ++m_calls;
    ApplyDecisions();
  }

  void ApplyDecisions() {
    ControlDecisions decisions = m_policy.TakeDecisions();
    if (decisions.m_is_view_changed) {
      const double before = CpuSeconds();
      m_view =
          std::make_shared<const FleetView>(m_policy.MakeFleetState(), *m_view);
      m_view_seconds += CpuSeconds() - before;
    }
    for (const OutgoingControlCall& call : decisions.m_outgoing_calls) {
      AnswerCall(call);
    }
    if (m_policy.NextConfigServiceRead(m_clock.Now())) {
      m_policy.OnConfigServiceRead(1, {}, m_clock.Now());
    }
  }

  // Replies to a call as a peer that has the same configuration.
  void AnswerCall(const OutgoingControlCall& call) {
    const std::string request = EncodeControlRequest(call.m_message);
    const std::string reply =
        m_server.Handle(request, [&](const ControlMessage&) {
          ControlMessage answer = MakePeerMessage(0);
          answer.m_sender.m_instance = call.m_target.m_id;
          return answer;
        });
    m_bytes += static_cast<double>(request.size() + reply.size());
    ++m_calls;
    m_policy.OnReply(call.m_token, DecodeControlReply(reply), m_clock.Now());
  }

  const double m_initial_heap_mb;
  std::mt19937 m_random{kSeed};
  ManualClock m_clock;
  ControlPolicy m_policy;
  ControlServer m_server;
  std::shared_ptr<const FleetView> m_view =
      std::make_shared<const FleetView>(FleetState());
  std::uint64_t m_version = 1;
  std::uint64_t m_status_changes = 0;
  double m_view_seconds = 0;
  double m_bytes = 0;
  double m_calls = 0;
};

}  // namespace
}  // namespace jackdawrack

int main() {
  jackdawrack::Measurement measurement;
  measurement.Load();
  measurement.Run();
  return 0;
}

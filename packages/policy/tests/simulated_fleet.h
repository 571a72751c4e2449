#pragma once

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "policy/control_policy.h"

namespace jackdawrack {

/// Runs the control policies of a whole fleet in one process on a simulated
/// clock. Network calls can be delayed, lost and cut off; the configuration
/// service can fail and be restored to an older state.
class SimulatedFleet final {
 public:
  /// Publishes an instance list and a contract and starts all instances.
  SimulatedFleet(std::size_t domains, std::size_t per_domain, unsigned seed)
      : m_random(seed) {
    std::string list;
    for (std::size_t d = 0; d < domains; ++d) {
      for (std::size_t i = 0; i < per_domain; ++i) {
        Node node{InstanceId(fmt::format("d{}-{}", d, i)),
                  FailureDomain(fmt::format("d{}", d))};
        list += fmt::format(
            "[instance {}]\nfailure_domain={}\npeers=127.0.0.1:{}\n",
            node.m_id.Text(), node.m_domain.Text(), 1000 + m_nodes.size());
        m_nodes.emplace(node.m_id, std::move(node));
      }
    }
    Publish("instances", list);
    PublishContract(1, 100);
    for (auto& [id, node] : m_nodes) {
      Start(id);
    }
  }

  // Faults

  void Kill(const InstanceId& id) { m_nodes[id].m_policy = nullptr; }
  void Start(const InstanceId& id) {
    Node& node = m_nodes[id];
    node.m_read_deadline.reset();
    node.m_policy = std::make_unique<ControlPolicy>(
        ControlSettings{node.m_id, node.m_domain, m_random()}, m_clock.Now());
  }
  void SetPaused(const InstanceId& id, bool paused) {
    m_nodes[id].m_paused = paused;
  }
  /// Cuts a domain off from all other domains, or reconnects it.
  void SetDomainPartitioned(const FailureDomain& domain, bool partitioned) {
    SetContained(m_partitioned_domains, domain, partitioned);
  }
  /// Cuts two domains off from each other.
  void PartitionDomainPair(const FailureDomain& a, const FailureDomain& b) {
    m_partitioned_pairs.insert({std::min(a, b), std::max(a, b)});
  }
  /// Cuts a domain off from the configuration service, or reconnects it.
  void SetConfigServiceCutOff(const FailureDomain& domain, bool cut_off) {
    SetContained(m_domains_without_config_service, domain, cut_off);
  }
  void SetConfigServiceUp(bool up) { m_config_service_up = up; }
  /// Sets the share of calls that are lost, from 0 to 1.
  void SetLossRate(double rate) { m_loss_rate = rate; }
  /// Replaces the values and the revision of the configuration service, as a
  /// restore from a backup does.
  void RestoreConfigService(std::map<std::string, PublishedValue> values,
                            std::uint64_t revision) {
    m_values = std::move(values);
    m_revision = revision;
  }

  // Publishing

  void Publish(const std::string& name, const std::string& text) {
    m_values[name] = PublishedValue{name, ++m_revision, text, 0};
  }
  void PublishContract(std::uint64_t version, std::uint64_t deadline_ms) {
    Publish("contracts/a",
            fmt::format("[contract]\ncustomer=a\nversion={}\n[limits]\n"
                        "deadline_ms={}\nrate_per_second=5\nconcurrency=5\n"
                        "[kind k]\ncollection=c\nidempotent=yes\n",
                        version, deadline_ms));
  }
  [[nodiscard]] const std::map<std::string, PublishedValue>& Values() const {
    return m_values;
  }

  // Running

  /// Advances time until `done` returns true, by at most `limit`. Returns the
  /// time that passed, which exceeds `limit` if `done` never returned true.
  Milliseconds RunUntil(Milliseconds limit, const std::function<bool()>& done) {
    Milliseconds run{0};
    while (run <= limit && !done()) {
      Step();
      run += kStep;
    }
    return run;
  }
  void Run(Milliseconds time) {
    RunUntil(time, [] { return false; });
  }

  // Observation

  [[nodiscard]] const ControlPolicy& PolicyAt(const InstanceId& id) const {
    return *m_nodes.at(id).m_policy;
  }
  [[nodiscard]] std::uint64_t ContractVersionAt(const InstanceId& id) const {
    const auto contract =
        PolicyAt(id).Store().State().FindContract(Customer("a"));
    return contract == nullptr ? 0 : contract->Version();
  }
  [[nodiscard]] std::vector<InstanceId> Running() const {
    std::vector<InstanceId> ids;
    for (const auto& [id, node] : m_nodes) {
      if (node.m_policy != nullptr && !node.m_paused) {
        ids.push_back(id);
      }
    }
    return ids;
  }
  [[nodiscard]] bool AllHaveContractVersion(std::uint64_t version) const {
    for (const InstanceId& id : Running()) {
      if (ContractVersionAt(id) != version) {
        return false;
      }
    }
    return true;
  }
  [[nodiscard]] bool AllJoined() const {
    for (const InstanceId& id : Running()) {
      if (!PolicyAt(id).IsJoined()) {
        return false;
      }
    }
    return true;
  }
  /// True if for every running instance `id` is live, or not live, as given by
  /// `live`.
  [[nodiscard]] bool AllSeeLive(const InstanceId& id, bool live) const {
    for (const InstanceId& viewer : Running()) {
      if (SeesLive(viewer, id) != live) {
        return false;
      }
    }
    return true;
  }
  [[nodiscard]] bool SeesLive(const InstanceId& viewer,
                              const InstanceId& id) const {
    for (const Instance& instance : PolicyAt(viewer).Members().Instances()) {
      if (instance.m_id == id) {
        return instance.m_state == InstanceState::kLive;
      }
    }
    return false;
  }
  [[nodiscard]] ControlPolicy& MutablePolicyAt(const InstanceId& id) {
    return *m_nodes.at(id).m_policy;
  }
  [[nodiscard]] std::uint64_t ConfigServiceReads() const {
    return m_config_service_reads;
  }
  [[nodiscard]] std::uint64_t ControlCalls() const { return m_control_calls; }
  [[nodiscard]] TimePoint Now() const { return m_clock.Now(); }

 private:
  static constexpr Milliseconds kStep{10};
  static constexpr Milliseconds kLinkDelay{4};

  struct Node {
    InstanceId m_id;
    FailureDomain m_domain;
    std::unique_ptr<ControlPolicy> m_policy{};
    bool m_paused = false;
    std::optional<TimePoint> m_read_deadline{};
    ConfigServiceRead m_read{};
    TimePoint m_next_tick{};
  };

  struct QueuedCall {
    TimePoint m_due;
    InstanceId m_from;
    OutgoingControlCall m_call;
  };

  static void SetContained(std::set<FailureDomain>& set,
                           const FailureDomain& domain,
                           bool contained) {
    if (contained) {
      set.insert(domain);
    } else {
      set.erase(domain);
    }
  }

  void Step() {
    m_clock.Advance(kStep);
    for (auto& [id, node] : m_nodes) {
      if (node.m_policy == nullptr || node.m_paused) {
        continue;
      }
      if (m_clock.Now() >= node.m_next_tick) {
        node.m_next_tick = m_clock.Now() + kControlTickInterval;
        node.m_policy->OnTick(m_clock.Now());
      }
      RunConfigServiceRead(node);
      CollectCalls(node);
    }
    DeliverDueCalls();
  }

  void RunConfigServiceRead(Node& node) {
    if (!node.m_read_deadline) {
      const auto read = node.m_policy->NextConfigServiceRead(m_clock.Now());
      if (!read) {
        return;
      }
      ++m_config_service_reads;
      node.m_read = *read;
      node.m_read_deadline = m_clock.Now() + read->m_max_wait;
    }
    if (!m_config_service_up ||
        m_domains_without_config_service.contains(node.m_domain)) {
      node.m_read_deadline.reset();
      node.m_policy->OnConfigServiceReadFailed(m_clock.Now());
      return;
    }
    if (m_revision <= node.m_read.m_after_revision &&
        m_clock.Now() < *node.m_read_deadline) {
      return;
    }
    node.m_read_deadline.reset();
    std::vector<PublishedValue> changes;
    for (const auto& [name, value] : m_values) {
      if (value.m_revision > node.m_read.m_after_revision) {
        changes.push_back(value);
      }
    }
    node.m_policy->OnConfigServiceRead(m_revision, changes, m_clock.Now());
  }

  void CollectCalls(Node& node) {
    for (OutgoingControlCall& call :
         node.m_policy->TakeDecisions().m_outgoing_calls) {
      ++m_control_calls;
      m_queued_calls.push_back(QueuedCall{m_clock.Now() + 2 * kLinkDelay,
                                          node.m_id, std::move(call)});
    }
  }

  void DeliverDueCalls() {
    std::vector<QueuedCall> due;
    std::erase_if(m_queued_calls, [&](QueuedCall& queued) {
      if (queued.m_due > m_clock.Now()) {
        return false;
      }
      due.push_back(std::move(queued));
      return true;
    });
    for (const QueuedCall& queued : due) {
      DeliverCall(queued);
    }
  }

  [[nodiscard]] bool ArePartitioned(const FailureDomain& a,
                                    const FailureDomain& b) const {
    const bool is_one_partitioned =
        m_partitioned_domains.contains(a) || m_partitioned_domains.contains(b);
    return (a != b && is_one_partitioned) ||
           m_partitioned_pairs.contains({std::min(a, b), std::max(a, b)});
  }

  void DeliverCall(const QueuedCall& queued) {
    Node& from = m_nodes.at(queued.m_from);
    Node& to = m_nodes.at(queued.m_call.m_target.m_id);
    if (from.m_policy == nullptr || from.m_paused) {
      return;
    }
    std::uniform_real_distribution<double> chance(0, 1);
    if (to.m_paused || ArePartitioned(from.m_domain, to.m_domain) ||
        chance(m_random) < m_loss_rate) {
      return;
    }
    std::optional<ControlMessage> reply;
    if (to.m_policy != nullptr) {
      reply = to.m_policy->OnRequest(from.m_id, from.m_domain,
                                     queued.m_call.m_message, m_clock.Now());
      CollectCalls(to);
    }
    from.m_policy->OnReply(queued.m_call.m_token, reply, m_clock.Now());
    CollectCalls(from);
  }

  std::mt19937 m_random;
  ManualClock m_clock;
  std::map<InstanceId, Node> m_nodes;
  std::vector<QueuedCall> m_queued_calls;
  std::set<FailureDomain> m_partitioned_domains;
  std::set<std::pair<FailureDomain, FailureDomain>> m_partitioned_pairs;
  std::set<FailureDomain> m_domains_without_config_service;
  bool m_config_service_up = true;
  double m_loss_rate = 0;
  std::map<std::string, PublishedValue> m_values;
  std::uint64_t m_revision = 0;
  std::uint64_t m_config_service_reads = 0;
  std::uint64_t m_control_calls = 0;
};

}  // namespace jackdawrack

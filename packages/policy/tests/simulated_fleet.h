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
    node.m_read_due.reset();
    node.m_policy = std::make_unique<ControlPolicy>(
        ControlSettings{node.m_id, node.m_domain, m_random()}, m_clock.Now());
  }
  void SetPaused(const InstanceId& id, bool paused) {
    m_nodes[id].m_paused = paused;
  }
  void CutBetweenDomains(const FailureDomain& domain, bool cut) {
    Toggle(m_cut_domains, domain, cut);
  }
  void CutPair(const FailureDomain& a, const FailureDomain& b) {
    m_cut_pairs.insert({std::min(a, b), std::max(a, b)});
  }
  void CutFromPlatform(const FailureDomain& domain, bool cut) {
    Toggle(m_platform_cuts, domain, cut);
  }
  void SetPlatformUp(bool up) { m_platform_up = up; }
  void SetLoss(double share) { m_loss = share; }
  /// Replaces the values and the revision of the configuration service, as a
  /// restore from a backup does.
  void RestorePlatform(std::map<std::string, PublishedValue> values,
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

  [[nodiscard]] const ControlPolicy& At(const InstanceId& id) const {
    return *m_nodes.at(id).m_policy;
  }
  [[nodiscard]] std::uint64_t VersionAt(const InstanceId& id) const {
    const auto contract = At(id).Store().State().FindContract(Customer("a"));
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
  [[nodiscard]] bool AllHave(std::uint64_t version) const {
    for (const InstanceId& id : Running()) {
      if (VersionAt(id) != version) {
        return false;
      }
    }
    return true;
  }
  [[nodiscard]] bool AllJoined() const {
    for (const InstanceId& id : Running()) {
      if (!At(id).IsJoined()) {
        return false;
      }
    }
    return true;
  }
  /// True if for every running instance `id` is live, or not live, as given by
  /// `live`.
  [[nodiscard]] bool AllSee(const InstanceId& id, bool live) const {
    for (const InstanceId& viewer : Running()) {
      if (SeesLive(viewer, id) != live) {
        return false;
      }
    }
    return true;
  }
  [[nodiscard]] bool SeesLive(const InstanceId& viewer,
                              const InstanceId& id) const {
    for (const Instance& instance : At(viewer).Members().Instances()) {
      if (instance.m_id == id) {
        return instance.m_state == InstanceState::kLive;
      }
    }
    return false;
  }
  [[nodiscard]] ControlPolicy& Policy(const InstanceId& id) {
    return *m_nodes.at(id).m_policy;
  }
  [[nodiscard]] std::uint64_t PlatformCalls() const { return m_platform_calls; }
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
    std::optional<TimePoint> m_read_due{};
    ConfigServiceRead m_read{};
    TimePoint m_next_tick{};
  };

  struct Delivery {
    TimePoint m_due;
    InstanceId m_from;
    OutgoingControlCall m_send;
  };

  static void Toggle(std::set<FailureDomain>& set,
                     const FailureDomain& domain,
                     bool in) {
    if (in) {
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
      RunPlatform(node);
      Collect(node);
    }
    Deliver();
  }

  void RunPlatform(Node& node) {
    if (!node.m_read_due) {
      const auto read = node.m_policy->NextConfigServiceRead(m_clock.Now());
      if (!read) {
        return;
      }
      ++m_platform_calls;
      node.m_read = *read;
      node.m_read_due = m_clock.Now() + read->m_max_wait;
    }
    if (!m_platform_up || m_platform_cuts.contains(node.m_domain)) {
      node.m_read_due.reset();
      node.m_policy->OnConfigServiceReadFailed(m_clock.Now());
      return;
    }
    if (m_revision <= node.m_read.m_after_revision &&
        m_clock.Now() < *node.m_read_due) {
      return;
    }
    node.m_read_due.reset();
    std::vector<PublishedValue> changes;
    for (const auto& [name, value] : m_values) {
      if (value.m_revision > node.m_read.m_after_revision) {
        changes.push_back(value);
      }
    }
    node.m_policy->OnConfigServiceRead(m_revision, changes, m_clock.Now());
  }

  void Collect(Node& node) {
    for (OutgoingControlCall& send :
         node.m_policy->TakeDecisions().m_outgoing_calls) {
      ++m_control_calls;
      m_deliveries.push_back(
          Delivery{m_clock.Now() + 2 * kLinkDelay, node.m_id, std::move(send)});
    }
  }

  void Deliver() {
    std::vector<Delivery> due;
    std::erase_if(m_deliveries, [&](Delivery& delivery) {
      if (delivery.m_due > m_clock.Now()) {
        return false;
      }
      due.push_back(std::move(delivery));
      return true;
    });
    for (const Delivery& delivery : due) {
      DeliverOne(delivery);
    }
  }

  [[nodiscard]] bool IsCut(const FailureDomain& a,
                           const FailureDomain& b) const {
    const bool is_one_cut =
        m_cut_domains.contains(a) || m_cut_domains.contains(b);
    return (a != b && is_one_cut) ||
           m_cut_pairs.contains({std::min(a, b), std::max(a, b)});
  }

  void DeliverOne(const Delivery& delivery) {
    Node& from = m_nodes.at(delivery.m_from);
    Node& to = m_nodes.at(delivery.m_send.m_target.m_id);
    if (from.m_policy == nullptr || from.m_paused) {
      return;
    }
    std::uniform_real_distribution<double> chance(0, 1);
    if (to.m_paused || IsCut(from.m_domain, to.m_domain) ||
        chance(m_random) < m_loss) {
      return;
    }
    std::optional<ControlMessage> reply;
    if (to.m_policy != nullptr) {
      reply = to.m_policy->OnRequest(from.m_id, from.m_domain,
                                     delivery.m_send.m_message, m_clock.Now());
      Collect(to);
    }
    from.m_policy->OnReply(delivery.m_send.m_token, reply, m_clock.Now());
    Collect(from);
  }

  std::mt19937 m_random;
  ManualClock m_clock;
  std::map<InstanceId, Node> m_nodes;
  std::vector<Delivery> m_deliveries;
  std::set<FailureDomain> m_cut_domains;
  std::set<std::pair<FailureDomain, FailureDomain>> m_cut_pairs;
  std::set<FailureDomain> m_platform_cuts;
  bool m_platform_up = true;
  double m_loss = 0;
  std::map<std::string, PublishedValue> m_values;
  std::uint64_t m_revision = 0;
  std::uint64_t m_platform_calls = 0;
  std::uint64_t m_control_calls = 0;
};

}  // namespace jackdawrack

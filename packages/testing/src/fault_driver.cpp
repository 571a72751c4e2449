#include "testing/fault_driver.h"

#include <fmt/format.h>

#include <csignal>
#include <thread>

#include "testing/index_publisher.h"

namespace jackdawrack {
namespace {

constexpr int kExitTimeoutMs = 10'000;
constexpr int kRepartitions = 10;
constexpr Milliseconds kBetweenRepartitions{60};
constexpr int kIndexChanges = 3;
constexpr Milliseconds kBetweenIndexChanges{400};
constexpr std::uint32_t kStragglerMs = 300;
constexpr std::uint32_t kColdMs = 40;
constexpr std::uint32_t kServiceMs = 2;
constexpr std::uint32_t kShuffledPerMille = 100;

FaultRule MakeRule(ProxyFault fault, const ProxyMatch& match) {
  FaultRule rule;
  rule.m_fault = fault;
  rule.m_match = match;
  return rule;
}

FaultRule LossyLinks() {
  FaultRule rule = MakeRule(ProxyFault::kDelay, ProxyMatch{});
  rule.m_delay = Milliseconds(3);
  rule.m_jitter = Milliseconds(30);
  rule.m_stalls_per_mille = 30;
  return rule;
}

FaultRule ShuffledReplies() {
  FaultRule rule =
      MakeRule(ProxyFault::kShuffleFrames, ProxyMatch{"", "", "peer", ""});
  rule.m_shuffled_per_mille = kShuffledPerMille;
  return rule;
}

}  // namespace

std::string FaultDriver::Begin(RunFault fault) {
  switch (fault) {
    case RunFault::kKillInstance:
    case RunFault::kPauseInstance:
    case RunFault::kRestartInstance:
      return BeginOnInstance(fault);
    case RunFault::kCutDomains:
    case RunFault::kCutPlatform:
    case RunFault::kSilentPeers:
    case RunFault::kSilentUpstreams:
    case RunFault::kSilentPlatform:
    case RunFault::kLossyLinks:
    case RunFault::kShuffledReplies:
    case RunFault::kReplicaLost:
      return BeginOnLinks(fault);
    case RunFault::kPlatformDown:
    case RunFault::kPlatformOlder:
    case RunFault::kOperatorsRace:
      return BeginOnPlatform(fault);
    case RunFault::kStraggler:
    case RunFault::kColdUpstreams:
    case RunFault::kDraining:
    case RunFault::kShedding:
    case RunFault::kRepartition:
    case RunFault::kIndexVersions:
      return BeginOnUpstreams(fault);
  }
  return {};
}

std::string FaultDriver::BeginOnInstance(RunFault fault) {
  const std::string instance = DrawInstance();
  const bool is_down = !m_fleet.Process(instance).IsRunning();
  if (is_down) {
    return instance + " is down already";
  }
  if (fault == RunFault::kKillInstance) {
    m_fleet.Process(instance).Kill();
    m_killed.push_back(instance);
    return "kill " + instance;
  }
  if (fault == RunFault::kPauseInstance) {
    m_fleet.Process(instance).Signal(SIGSTOP);
    m_paused.push_back(instance);
    return "pause " + instance;
  }
  return RestartGracefully(instance);
}

std::string FaultDriver::RestartGracefully(const std::string& instance) {
  m_fleet.Process(instance).Signal(SIGTERM);
  const int code = m_fleet.Process(instance).WaitExit(kExitTimeoutMs);
  const bool is_paused =
      std::find(m_paused.begin(), m_paused.end(), instance) != m_paused.end();
  if (code != 0 && !is_paused) {
    m_fault = fmt::format("graceful stop: {} ended with {}", instance, code);
  }
  m_fleet.Process(instance).Kill();
  m_fleet.StartInstance(instance);
  return "restart " + instance;
}

std::string FaultDriver::BeginOnLinks(RunFault fault) {
  ProxyControl& proxy = m_fleet.Proxy();
  switch (fault) {
    case RunFault::kCutDomains: {
      const std::string a = DrawDomain();
      const std::string b = DrawDomain();
      if (a != b) {
        m_fleet.CutDomains(a, b);
      }
      return fmt::format("cut {} from {}", a, b);
    }
    case RunFault::kCutPlatform: {
      const std::string domain = DrawDomain();
      m_fleet.CutPlatform(domain);
      return fmt::format("cut {} from the platform", domain);
    }
    case RunFault::kSilentPeers:
      m_fleet.SilencePeers();
      return "peer connections go silent";
    case RunFault::kSilentUpstreams:
      m_fleet.SilenceUpstreams();
      return "upstream connections go silent";
    case RunFault::kSilentPlatform:
      proxy.Silence(ProxyMatch{"", "", "platform", ""});
      return "platform connections go silent";
    case RunFault::kLossyLinks:
      proxy.Add({LossyLinks()});
      return "delayed and lossy links";
    case RunFault::kShuffledReplies:
      proxy.Add({ShuffledReplies()});
      proxy.Silence(ProxyMatch{"", "", "peer", ""});
      return "peer replies crossed and duplicated";
    default: {
      const std::string upstream = DrawUpstream();
      proxy.Add({MakeRule(ProxyFault::kCut, ProxyMatch{"", upstream, "", ""})});
      return "lose " + upstream;
    }
  }
}

std::string FaultDriver::BeginOnPlatform(RunFault fault) {
  m_platform_is_changed = true;
  if (fault == RunFault::kOperatorsRace) {
    RaceOperators();
    return "operators race";
  }
  m_fleet.Platform().Kill();
  if (fault == RunFault::kPlatformDown) {
    return "platform down";
  }
  m_fleet.StartPlatform();
  return "platform gone back to its first state";
}

void FaultDriver::RaceOperators() {
  const std::uint64_t version = ++m_contract_version;
  std::string other = m_fleet.ContractText(version);
  other += "\n[kind other]\ncollection = data\nidempotent = yes\n";
  m_fleet.Publish("contracts/acme", other);
  m_fleet.PublishContract(version);
  m_fleet.Publish("contracts/acme", other);
}

std::string FaultDriver::BeginOnUpstreams(RunFault fault) {
  const std::string upstream = DrawUpstream();
  switch (fault) {
    case RunFault::kStraggler:
      m_fleet.SetUpstream(upstream,
                          fmt::format(R"({{"service_ms": {}}})", kStragglerMs));
      return "slow " + upstream;
    case RunFault::kColdUpstreams: {
      const std::string domain = DrawDomain();
      SetService(domain, kColdMs);
      return "cold upstreams in " + domain;
    }
    case RunFault::kDraining:
      m_fleet.SetUpstream(upstream, R"({"draining": 1})");
      return "drain " + upstream;
    case RunFault::kShedding:
      m_fleet.SetUpstream(upstream, R"({"shedding": 1})");
      return "shed at " + upstream;
    case RunFault::kRepartition:
      for (int i = 0; i < kRepartitions; ++i) {
        PublishRepartition(m_fleet, m_random);
        std::this_thread::sleep_for(kBetweenRepartitions);
      }
      return "splits, merges and moves";
    default:
      for (int i = 0; i < kIndexChanges; ++i) {
        PublishNextIndexVersion(m_fleet);
        std::this_thread::sleep_for(kBetweenIndexChanges);
      }
      return "index versions change";
  }
}

std::string FaultDriver::EndAll() {
  // Bring back the links and the platform first
  m_fleet.Proxy().Heal();
  if (m_platform_is_changed) {
    if (!m_fleet.Platform().IsRunning()) {
      m_fleet.StartPlatform();
    }
    m_platform_is_changed = false;
  }

  // Then the processes
  for (const std::string& instance : m_paused) {
    m_fleet.Process(instance).Signal(SIGCONT);
  }
  for (const std::string& instance : m_killed) {
    m_fleet.StartInstance(instance);
  }
  m_paused.clear();
  m_killed.clear();

  // Then the upstreams and the published state
  for (const Upstream& upstream : m_fleet.Map().m_upstreams) {
    m_fleet.SetUpstream(
        upstream.m_id.Text(),
        fmt::format(R"({{"draining": 0, "shedding": 0, "service_ms": {}}})",
                    kServiceMs));
  }
  PublishAll();
  return std::exchange(m_fault, {});
}

void FaultDriver::PublishAll() {
  ++m_fleet.Map().m_revision;
  m_fleet.PublishMap();
  m_fleet.PublishInstances();
  (void)PublishNextContract();
}

std::uint64_t FaultDriver::PublishNextContract() {
  m_fleet.PublishContract(++m_contract_version);
  return m_contract_version;
}

void FaultDriver::SetService(const std::string& domain,
                             std::uint32_t service_ms) {
  for (const Upstream& upstream : m_fleet.Map().m_upstreams) {
    if (upstream.m_domain.Text() == domain) {
      m_fleet.SetUpstream(upstream.m_id.Text(),
                          fmt::format(R"({{"service_ms": {}}})", service_ms));
    }
  }
}

std::string FaultDriver::DrawInstance() {
  const auto names = m_fleet.InstanceNames();
  return names[m_random() % names.size()];
}

std::string FaultDriver::DrawUpstream() {
  const auto& upstreams = m_fleet.Map().m_upstreams;
  return upstreams[m_random() % upstreams.size()].m_id.Text();
}

std::string FaultDriver::DrawDomain() {
  const auto& upstreams = m_fleet.Map().m_upstreams;
  return upstreams[m_random() % upstreams.size()].m_domain.Text();
}

}  // namespace jackdawrack

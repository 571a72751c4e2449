#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "model/instance.h"
#include "net/json.h"
#include "testing/booking_log.h"
#include "testing/child_process.h"
#include "testing/port_block.h"
#include "testing/proxy_control.h"
#include "testing/test_map.h"
#include "tool/http_call.h"

namespace jackdawrack {

/// What a test fleet is made of.
struct TestFleetSettings {
  /// Names the folder of settings and logs.
  std::string m_name;
  std::vector<std::string> m_domains{"east", "south", "west"};
  std::size_t m_instances_per_domain = 1;
  TestMapSettings m_map;
  std::uint32_t m_service_ms = 2;
  std::uint32_t m_balancer_lag_ms = 200;
  /// Lines of [limits] and [query] of the contract of customer "acme".
  std::string m_limits =
      "deadline_ms = 1000\nrate_per_second = 100000\nconcurrency = 10000\n";
  std::string m_query_terms = "minimum_coverage = 0\n";
  /// Folder of the programs; that of the build if empty.
  std::string m_bin_folder;
  /// Peer, upstream and platform connections go through the fault proxy.
  bool m_proxied = false;
  /// Seed of the proxy's random draws.
  std::uint64_t m_proxy_seed = 1;
  /// Lines of [policy] of every instance.
  std::string m_policy;
};

/// A fleet of real processes on loopback: platform and upstream stand-ins and
/// instances "DOMAIN-N". Customer "acme" has the kinds "look" (a query) and
/// "book" (not idempotent), both on collection "data".
class TestFleet final {
 public:
  explicit TestFleet(TestFleetSettings settings);
  ~TestFleet();

  TestFleet(const TestFleet&) = delete;
  TestFleet& operator=(const TestFleet&) = delete;

  /// Starts everything and waits until every instance is ready.
  void Start();

  // Processes

  void StartInstance(const std::string& name);
  [[nodiscard]] ChildProcess& Process(const std::string& name);
  [[nodiscard]] ChildProcess& Platform() { return *m_platform; }
  void StartPlatform();
  /// False if the instance is not ready within `timeout_ms`.
  bool WaitReady(const std::string& name, int timeout_ms = 10'000);
  [[nodiscard]] std::vector<std::string> InstanceNames() const;

  // Faults of links; only of a proxied fleet

  [[nodiscard]] ProxyControl& Proxy() { return *m_proxy_control; }
  /// Cuts two failure domains off from each other, both ways.
  void CutDomains(const std::string& a, const std::string& b);
  /// Cuts the instances of a domain off from the platform.
  void CutPlatform(const std::string& domain);
  /// Turns every open peer connection silent for good.
  void SilencePeers();
  /// Turns every open upstream connection silent for good.
  void SilenceUpstreams();
  /// Source address of the instances of a domain.
  [[nodiscard]] std::string SourceOf(const std::string& domain) const;

  // Checks

  /// An instance that ended though nobody ended it, with its last event;
  /// empty if there is none.
  [[nodiscard]] std::string FirstUnexpectedExit();
  /// Keeps the folder of settings and logs after the end of the fleet.
  void KeepFolder() { m_keeps_folder = true; }

  // Publishing

  /// Writes a value into the stand-in platform; waits for one that was only
  /// just started, and throws if it does not answer.
  void Publish(const std::string& name, const std::string& text);
  /// The map as last published; change it and call `PublishMap`.
  [[nodiscard]] TestMap& Map() { return m_map; }
  void PublishMap();
  void PublishContract(std::uint64_t version);
  [[nodiscard]] std::string ContractText(std::uint64_t version) const;
  void PublishInstances();
  /// State of an instance in the next published list.
  void SetListed(const std::string& name, const std::string& state);

  // Calls

  /// POST /v1/query of kind "look"; the status is 0 if no reply came.
  HttpReply Query(const std::string& instance, const std::string& body);
  /// POST /v1/request of kind "book"; the status is 0 if no reply came.
  HttpReply Book(const std::string& instance,
                 const std::string& key,
                 const std::string& idempotency_key,
                 const std::string& body,
                 bool is_resend = false);
  /// GET on the operators' listener.
  HttpReply Operator(const std::string& instance,
                     const std::string& target,
                     Milliseconds timeout = Milliseconds(5000));
  /// POST /control/set of an upstream stand-in.
  void SetUpstream(const std::string& upstream, const std::string& json);
  /// GET /control/counts of an upstream stand-in; empty if it does not answer.
  boost::json::object UpstreamCounts(const std::string& upstream);
  /// Executions of one idempotency key, summed over all upstreams.
  std::uint64_t Executions(const std::string& idempotency_key);

  /// Executions of every idempotency key, summed over all upstreams.
  ExecutionCounts AllExecutions();
  /// Version of the contract in force on an instance; 0 if there is none or
  /// the instance does not answer.
  std::uint64_t ContractVersion(const std::string& instance,
                                Milliseconds timeout = Milliseconds(5000));
  /// Deadline of the contract in force on an instance, or 0.
  std::uint64_t ContractDeadlineMs(const std::string& instance);

  /// Where callers reach an instance.
  [[nodiscard]] Endpoint Callers(const std::string& instance) const;
  [[nodiscard]] Endpoint Peers(const std::string& instance) const;
  [[nodiscard]] Endpoint PlatformEndpoint() const;
  /// Folder of settings and logs; removed with the fleet unless a test failed.
  [[nodiscard]] const std::string& Folder() const { return m_folder; }

 private:
  struct Member {
    std::string m_name;
    std::string m_domain;
    std::uint16_t m_first_place = 0;
    std::string m_listed_state = "live";
    std::unique_ptr<ChildProcess> m_process;
  };

  [[nodiscard]] const Member& Find(const std::string& name) const;
  [[nodiscard]] Endpoint At(std::uint16_t place) const;
  std::uint64_t ContractNumber(const std::string& instance,
                               const char* name,
                               Milliseconds timeout);
  void StartProxy();
  /// The endpoint that instances are told of in place of `direct`.
  [[nodiscard]] Endpoint Published(const Endpoint& direct) const;
  [[nodiscard]] std::string MapText() const;
  void WriteInstanceSettings(const Member& member) const;
  [[nodiscard]] std::string InstancesText() const;
  [[nodiscard]] std::string ProgramPath(const std::string& program) const;
  [[nodiscard]] std::string LogPath(const std::string& name) const;

  const TestFleetSettings m_settings;
  PortBlock m_ports;
  TestMap m_map;
  std::string m_folder;
  bool m_keeps_folder = false;
  std::vector<Member> m_members;
  std::unique_ptr<ChildProcess> m_proxy;
  std::unique_ptr<ProxyControl> m_proxy_control;
  std::unique_ptr<ChildProcess> m_platform;
  std::unique_ptr<ChildProcess> m_upstreams;
};

}  // namespace jackdawrack

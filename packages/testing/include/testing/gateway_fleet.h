#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "standin/replica_standin.h"
#include "standin/store_standin.h"
#include "testing/child_process.h"
#include "testing/port_block.h"

namespace jackdawrack {

/// What a gateway fleet is made of.
struct GatewayFleetSettings {
  /// Names the folder of settings and logs.
  std::string m_name;
  /// Failure domain of each instance; the first one's replicas are home to it.
  std::vector<std::string> m_instance_domains{"east"};
  std::size_t m_shards = 4;
  /// Failure domains in which each shard and the single service have a replica.
  std::vector<std::string> m_replica_domains{"east", "west"};
  int m_target_ms = 300;
  int m_timeout_ms = 1'500;
  /// Time after a disruption within which an instance is up to date again.
  int m_stable_ms = 2'000;
  /// Folder of the programs; that of the build if empty.
  std::string m_bin_folder = {};
};

/// Real instances in front of stand-ins of the users' platform, on loopback.
/// Host "app.test" has the routes "/q/" (scattered over all shards, answers
/// from three quarters of them on), "/one/" (idempotent) and "/book/" (at most
/// once), both on service "single".
class GatewayFleet final {
 public:
  /// Bound on requests to an upstream that leaves.
  static constexpr Milliseconds kDrainBound{3'000};

  explicit GatewayFleet(GatewayFleetSettings settings);
  ~GatewayFleet();

  GatewayFleet(const GatewayFleet&) = delete;
  GatewayFleet& operator=(const GatewayFleet&) = delete;

  /// Keeps settings and logs after the end, and returns their folder.
  const std::string& KeepFolder();

  /// Starts the stand-ins and instances and waits until all are ready.
  void Start();

  // Instances, by their place in the settings

  void StartInstance(std::size_t instance);
  [[nodiscard]] ChildProcess& Process(std::size_t instance);
  [[nodiscard]] std::uint16_t CallerPort(std::size_t instance = 0) const;
  [[nodiscard]] bool IsReady(std::size_t instance);
  /// False if the instance is not ready in time.
  bool WaitReady(std::size_t instance, int timeout_ms = 5'000);
  [[nodiscard]] std::string SettingsPath(std::size_t instance) const;
  [[nodiscard]] std::string LogPath(std::size_t instance) const;
  [[nodiscard]] std::string LogText(std::size_t instance) const;
  [[nodiscard]] std::string Metrics(std::size_t instance) const;
  /// Where other instances ask the instance.
  [[nodiscard]] std::uint16_t PeerPort(std::size_t instance = 0) const;
  /// The value of a metric without labels; 0 if the instance does not tell it.
  [[nodiscard]] double Metric(std::size_t instance,
                              const std::string& name) const;
  /// Where operators ask the instance.
  [[nodiscard]] Endpoint Operators(std::size_t instance = 0) const;

  // Stand-ins

  [[nodiscard]] StoreStandin& Store() { return *m_store; }
  /// The replica of a service ("shard-N" or "single") in a failure domain.
  [[nodiscard]] ReplicaStandin& Replica(const std::string& service,
                                        const std::string& domain);
  /// Where it listens.
  [[nodiscard]] Endpoint ReplicaEndpoint(const std::string& service,
                                         const std::string& domain);
  [[nodiscard]] static std::string ReplicaId(const std::string& service,
                                             const std::string& domain);
  /// Publishes the record of a replica.
  void PublishReplica(const std::string& service,
                      const std::string& domain,
                      const std::string& state);
  /// Publishes the record of a replica as that of a process that has just
  /// started under the same id.
  void RestartReplica(const std::string& service, const std::string& domain);
  /// Publishes a configuration with these services as shards of "/q/";
  /// `padding_bytes` make it longer.
  void PublishConfig(std::uint64_t version,
                     const std::vector<std::string>& shards,
                     std::size_t padding_bytes = 0);
  /// Starts and publishes the replicas of one more service.
  void AddService(const std::string& service);
  /// The record that the replicas of a service hold.
  [[nodiscard]] static std::string RecordOf(const std::string& service);
  [[nodiscard]] std::vector<std::string> Shards() const;

  /// Requests of this id that ran, over all replicas.
  [[nodiscard]] std::size_t RunsOf(const std::string& id) const;
  /// The same for all ids that ran at all.
  [[nodiscard]] std::unordered_map<std::string, std::size_t> AllRuns() const;

  /// Where nothing listens, other than where a replica may start later.
  [[nodiscard]] Endpoint UnusedEndpoint() const { return At(kUnusedPlace); }

 private:
  static constexpr std::uint16_t kUnusedPlace = PortBlock::kSize - 1;

  struct Member {
    std::uint16_t m_first_place = 0;
    std::unique_ptr<ChildProcess> m_process;
  };

  struct StandinReplica {
    std::string m_service;
    std::string m_domain;
    Endpoint m_endpoint;
    std::unique_ptr<ReplicaStandin> m_standin;
  };

  void WriteSettings(std::size_t instance) const;
  [[nodiscard]] Endpoint At(std::uint16_t place) const;
  StandinReplica& Find(const std::string& service, const std::string& domain);

  const GatewayFleetSettings m_settings;
  PortBlock m_ports;
  std::string m_folder;
  bool m_keeps_folder = false;
  boost::asio::io_context m_context;
  std::unique_ptr<StoreStandin> m_store;
  std::vector<StandinReplica> m_replicas;
  std::vector<Member> m_members;
  std::uint16_t m_next_replica_place = 0;
  std::map<std::string, std::uint64_t> m_sequences;
  std::map<std::string, std::uint64_t> m_start_times_ms;
  std::thread m_thread;
};

}  // namespace jackdawrack

#include "testing/gateway_fleet.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

constexpr std::uint16_t kStorePlace = 1;
constexpr std::uint16_t kFirstInstancePlace = 2;
constexpr std::uint16_t kPlacesPerInstance = 4;
constexpr int kPollMs = 10;
constexpr unsigned kStatusOk = 200;
constexpr std::uint64_t kFirstStartMs = 1'000;

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace

GatewayFleet::GatewayFleet(GatewayFleetSettings settings)
    : m_settings(std::move(settings)),
      m_next_replica_place(static_cast<std::uint16_t>(
          kFirstInstancePlace +
          kPlacesPerInstance * m_settings.m_instance_domains.size())) {
  m_folder = fmt::format("{}/jackdawrack-{}-{}",
                         std::filesystem::temp_directory_path().string(),
                         m_settings.m_name, getpid());
  std::filesystem::create_directories(m_folder);
  for (std::size_t i = 0; i < m_settings.m_instance_domains.size(); ++i) {
    Member member;
    member.m_first_place = static_cast<std::uint16_t>(kFirstInstancePlace +
                                                      kPlacesPerInstance * i);
    m_members.push_back(std::move(member));
  }
  m_store = std::make_unique<StoreStandin>(m_context, At(kStorePlace));
}

GatewayFleet::~GatewayFleet() {
  for (Member& member : m_members) {
    member.m_process = nullptr;
  }
  m_context.stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
  if (std::uncaught_exceptions() == 0 && !m_keeps_folder) {
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  }
}

Endpoint GatewayFleet::At(std::uint16_t place) const {
  return Endpoint{"127.0.0.1", m_ports.Port(place)};
}

const std::string& GatewayFleet::KeepFolder() {
  m_keeps_folder = true;
  return m_folder;
}

void GatewayFleet::Start() {
  if (!m_store->Start()) {
    throw std::runtime_error("the store stand-in cannot listen");
  }
  m_thread = std::thread([this] {
    const auto guard = boost::asio::make_work_guard(m_context);
    m_context.run();
  });
  PublishConfig(1, Shards());
  for (const std::string& shard : Shards()) {
    AddService(shard);
  }
  AddService("single");
  for (std::size_t instance = 0; instance < m_members.size(); ++instance) {
    WriteSettings(instance);
    StartInstance(instance);
  }
  for (std::size_t instance = 0; instance < m_members.size(); ++instance) {
    if (!WaitReady(instance)) {
      throw std::runtime_error("an instance is not ready: " +
                               LogText(instance));
    }
  }
}

void GatewayFleet::WriteSettings(std::size_t instance) const {
  const std::uint16_t place = m_members[instance].m_first_place;
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(m_members.size(), 3); ++i) {
    seeds.push_back(At(m_members[i].m_first_place + 2).ToText());
  }
  std::ofstream(SettingsPath(instance)) << fmt::format(
      "[gateway]\ninstance = i{}\nfailure_domain = {}\nseeds = {}\n"
      "[listen]\ncallers = {}\nreadiness = {}\npeers = {}\noperators = {}\n"
      "[store]\naddress = {}\n"
      "[bounds]\nrepeat_ratio = 0.2\nrepeat_slack = 58\nrepeat_window_s = 10\n"
      "stable_ms = {}\ngrace_s = 6\ndrain_ms = {}\n",
      instance, m_settings.m_instance_domains[instance], fmt::join(seeds, ","),
      At(place).ToText(), At(place + 1).ToText(), At(place + 2).ToText(),
      At(place + 3).ToText(), At(kStorePlace).ToText(), m_settings.m_stable_ms,
      kDrainBound.count());
}

void GatewayFleet::StartInstance(std::size_t instance) {
  m_members[instance].m_process = std::make_unique<ChildProcess>(
      (m_settings.m_bin_folder.empty() ? JACKDAWRACK_BIN_DIR
                                       : m_settings.m_bin_folder) +
          "/jackdawrackd",
      std::vector<std::string>{"--settings", SettingsPath(instance)},
      LogPath(instance));
}

ChildProcess& GatewayFleet::Process(std::size_t instance) {
  return *m_members[instance].m_process;
}

std::uint16_t GatewayFleet::CallerPort(std::size_t instance) const {
  return At(m_members[instance].m_first_place).m_port;
}

bool GatewayFleet::IsReady(std::size_t instance) {
  try {
    RawCaller caller(At(m_members[instance].m_first_place + 1).m_port);
    const auto reply = caller.Call("GET", "/v1/ready", "ready");
    return reply && reply->m_status == kStatusOk;
  } catch (const boost::system::system_error&) {
    return false;
  }
}

bool GatewayFleet::WaitReady(std::size_t instance, int timeout_ms) {
  for (int waited = 0; waited < timeout_ms; waited += kPollMs) {
    if (IsReady(instance)) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(kPollMs));
  }
  return false;
}

std::string GatewayFleet::SettingsPath(std::size_t instance) const {
  return fmt::format("{}/i{}.ini", m_folder, instance);
}

std::string GatewayFleet::LogText(std::size_t instance) const {
  return ReadFile(LogPath(instance));
}

std::string GatewayFleet::LogPath(std::size_t instance) const {
  return fmt::format("{}/i{}.log", m_folder, instance);
}

std::string GatewayFleet::Metrics(std::size_t instance) const {
  RawCaller caller(Operators(instance).m_port);
  const auto reply = caller.Call("GET", "/metrics", "metrics");
  return reply ? reply->m_body : std::string();
}

std::uint16_t GatewayFleet::PeerPort(std::size_t instance) const {
  return At(m_members[instance].m_first_place + 2).m_port;
}

double GatewayFleet::Metric(std::size_t instance,
                            const std::string& name) const {
  const std::string metrics = "\n" + Metrics(instance);
  const std::size_t place = metrics.find("\n" + name + " ");
  return place == std::string::npos
             ? 0
             : std::stod(metrics.substr(place + name.size() + 2));
}

Endpoint GatewayFleet::Operators(std::size_t instance) const {
  return At(m_members[instance].m_first_place + 3);
}

GatewayFleet::StandinReplica& GatewayFleet::Find(const std::string& service,
                                                 const std::string& domain) {
  const auto found = std::find_if(
      m_replicas.begin(), m_replicas.end(), [&](const StandinReplica& replica) {
        return replica.m_service == service && replica.m_domain == domain;
      });
  if (found == m_replicas.end()) {
    throw std::runtime_error("no replica of " + service + " in " + domain);
  }
  return *found;
}

ReplicaStandin& GatewayFleet::Replica(const std::string& service,
                                      const std::string& domain) {
  return *Find(service, domain).m_standin;
}

Endpoint GatewayFleet::ReplicaEndpoint(const std::string& service,
                                       const std::string& domain) {
  return Find(service, domain).m_endpoint;
}

std::string GatewayFleet::ReplicaId(const std::string& service,
                                    const std::string& domain) {
  return "u-" + service + "-" + domain;
}

std::string GatewayFleet::RecordOf(const std::string& service) {
  std::string record = service;
  record.resize(16, '.');
  return record;
}

std::vector<std::string> GatewayFleet::Shards() const {
  std::vector<std::string> shards;
  for (std::size_t i = 0; i < m_settings.m_shards; ++i) {
    shards.push_back(fmt::format("shard-{}", i));
  }
  return shards;
}

void GatewayFleet::AddService(const std::string& service) {
  for (const std::string& domain : m_settings.m_replica_domains) {
    StandinReplica replica;
    replica.m_service = service;
    replica.m_domain = domain;
    replica.m_endpoint = At(m_next_replica_place++);
    ReplicaStandinSettings settings;
    settings.m_id = ReplicaId(service, domain);
    settings.m_endpoint = replica.m_endpoint;
    settings.m_records = {RecordOf(service)};
    replica.m_standin =
        std::make_unique<ReplicaStandin>(m_context, std::move(settings));
    if (!replica.m_standin->Start()) {
      throw std::runtime_error("a replica stand-in cannot listen");
    }
    m_replicas.push_back(std::move(replica));
    PublishReplica(service, domain, "ready");
  }
}

void GatewayFleet::PublishReplica(const std::string& service,
                                  const std::string& domain,
                                  const std::string& state) {
  const std::string id = ReplicaId(service, domain);
  m_store->Put(
      "servers/" + id,
      fmt::format(
          R"({{"service":"{}","address":"{}","zone":"{}","version":"v",)"
          R"("maxConcurrency":4,"state":"{}","coldMs":0,)"
          R"("sequence":{},"born":{}}})",
          service, Find(service, domain).m_endpoint.ToText(), domain, state,
          ++m_sequences[id],
          m_start_times_ms.emplace(id, kFirstStartMs).first->second));
}

void GatewayFleet::RestartReplica(const std::string& service,
                                  const std::string& domain) {
  const std::string id = ReplicaId(service, domain);
  m_start_times_ms[id] = kFirstStartMs + ++m_sequences[id];
  m_sequences[id] = 0;
  PublishReplica(service, domain, "ready");
}

void GatewayFleet::PublishConfig(std::uint64_t version,
                                 const std::vector<std::string>& shards,
                                 std::size_t padding_bytes) {
  const std::string times =
      fmt::format(R"("timeoutMs":{},"targetLatencyMs":{},"maxAttempts":2)",
                  m_settings.m_timeout_ms, m_settings.m_target_ms);
  const auto route = [&](const char* name, const char* type,
                         const std::string& target) {
    return fmt::format(
        R"({{"name":"{0}","host":"app.test","prefix":"/{0}/","type":"{1}",)"
        R"({2},"priority":1,{3}}})",
        name, type, times, target);
  };
  const std::string gather =
      fmt::format(R"("gather":["{}"],"topK":3,"minVersion":0.75)",
                  fmt::join(shards, "\",\""));
  const std::string single = R"("service":"single")";
  m_store->Put(
      "op/config",
      fmt::format(
          R"({{"version":{},"routes":[{},{},{}],"services":[)"
          R"({{"name":"single","healthPath":"/h","maxConnections":60}}],)"
          R"("limits":{{"maxHeaderBytes":4096,"maxBodyBytes":65536,)"
          R"("headerTimeoutMs":1000,"idleTimeoutMs":3000}},"padding":"{}"}})",
          version, route("q", "safe", gather), route("one", "safe", single),
          route("book", "unsafe", single), std::string(padding_bytes, 'p')));
}

std::size_t GatewayFleet::RunsOf(const std::string& id) const {
  std::size_t runs = 0;
  for (const StandinReplica& replica : m_replicas) {
    for (const SeenRequest& seen : replica.m_standin->Seen()) {
      runs += seen.m_id == id && seen.m_has_run ? 1 : 0;
    }
  }
  return runs;
}

std::unordered_map<std::string, std::size_t> GatewayFleet::AllRuns() const {
  std::unordered_map<std::string, std::size_t> runs;
  for (const StandinReplica& replica : m_replicas) {
    for (const SeenRequest& seen : replica.m_standin->Seen()) {
      if (seen.m_has_run) {
        ++runs[seen.m_id];
      }
    }
  }
  return runs;
}

}  // namespace jackdawrack

#include "testing/test_fleet.h"

#include <fmt/format.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "core/check.h"
#include "fleet_http.h"

namespace jackdawrack {
namespace {

constexpr std::uint16_t kPlatformPlace = 1;
constexpr std::uint16_t kFirstInstancePlace = 2;
constexpr std::uint16_t kPlacesPerInstance = 3;
constexpr std::uint16_t kFirstUpstreamPlace = 150;
constexpr int kReadyPollMs = 10;

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

std::string LastLine(const std::string& path) {
  std::ifstream stream(path);
  std::string last;
  for (std::string line; std::getline(stream, line);) {
    last = line;
  }
  return last;
}

}  // namespace

TestFleet::TestFleet(TestFleetSettings settings)
    : m_settings(std::move(settings)),
      m_map(m_settings.m_map,
            m_settings.m_domains,
            m_ports.Port(kFirstUpstreamPlace)) {
  m_folder = fmt::format("{}/jackdawrack-{}-{}",
                         std::filesystem::temp_directory_path().string(),
                         m_settings.m_name, getpid());
  std::filesystem::create_directories(m_folder);
  std::uint16_t place = kFirstInstancePlace;
  for (const std::string& domain : m_settings.m_domains) {
    for (std::size_t i = 0; i < m_settings.m_instances_per_domain; ++i) {
      Member member;
      member.m_name = fmt::format("{}-{}", domain, i + 1);
      member.m_domain = domain;
      member.m_first_place = place;
      place += kPlacesPerInstance;
      WriteInstanceSettings(member);
      m_members.push_back(std::move(member));
    }
  }
  JR_CHECK(place <= kFirstUpstreamPlace);
}

TestFleet::~TestFleet() {
  if (std::uncaught_exceptions() == 0 && !m_keeps_folder) {
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  }
}

void TestFleet::Start() {
  if (m_settings.m_proxied) {
    StartProxy();
  }
  StartPlatform();
  WriteFile(m_folder + "/map.ini", m_map.ToText());
  m_upstreams = std::make_unique<ChildProcess>(
      ProgramPath("standin_upstreams"),
      std::vector<std::string>{"--map", m_folder + "/map.ini", "--service-ms",
                               std::to_string(m_settings.m_service_ms)},
      LogPath("upstreams"));
  for (const Member& member : m_members) {
    StartInstance(member.m_name);
  }
  for (const Member& member : m_members) {
    if (!WaitReady(member.m_name)) {
      throw std::runtime_error(member.m_name + " is not ready; see " +
                               LogPath(member.m_name));
    }
  }
}

void TestFleet::StartPlatform() {
  const std::string values = m_folder + "/values";
  std::filesystem::create_directories(values + "/contracts");
  std::filesystem::create_directories(values + "/map");
  WriteFile(values + "/contracts/acme.ini", ContractText(1));
  WriteFile(values + "/map/data.ini", MapText());
  WriteFile(values + "/instances.ini", InstancesText());
  m_platform = std::make_unique<ChildProcess>(
      ProgramPath("standin_platform"),
      std::vector<std::string>{"--listen", PlatformEndpoint().ToText(),
                               "--values", values},
      LogPath("platform"));
}

void TestFleet::StartInstance(const std::string& name) {
  for (Member& member : m_members) {
    if (member.m_name == name) {
      member.m_process = std::make_unique<ChildProcess>(
          ProgramPath("jackdawrackd"),
          std::vector<std::string>{"--settings",
                                   m_folder + "/" + name + ".ini"},
          LogPath(name));
    }
  }
}

std::string TestFleet::FirstUnexpectedExit() {
  for (const Member& member : m_members) {
    if (member.m_process->IsRunning() && member.m_process->HasEnded()) {
      return fmt::format("exit: {} ended; its last event: {}", member.m_name,
                         LastLine(LogPath(member.m_name)));
    }
  }
  return {};
}

ChildProcess& TestFleet::Process(const std::string& name) {
  return *Find(name).m_process;
}

bool TestFleet::WaitReady(const std::string& name, int timeout_ms) {
  for (int waited = 0; waited < timeout_ms; waited += kReadyPollMs) {
    if (Operator(name, "/readyz").m_status == 200) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(kReadyPollMs));
  }
  return false;
}

std::vector<std::string> TestFleet::InstanceNames() const {
  std::vector<std::string> names;
  for (const Member& member : m_members) {
    names.push_back(member.m_name);
  }
  return names;
}

void TestFleet::Publish(const std::string& name, const std::string& text) {
  HttpRequest request = MakePost("/v1/values/" + name, text);
  request.m_method = "PUT";
  (void)CallControl(PlatformEndpoint(), request);
}

void TestFleet::PublishMap() {
  Publish("map/data", MapText());
}

void TestFleet::PublishContract(std::uint64_t version) {
  Publish("contracts/acme", ContractText(version));
}

void TestFleet::PublishInstances() {
  Publish("instances", InstancesText());
}

void TestFleet::SetListed(const std::string& name, const std::string& state) {
  for (Member& member : m_members) {
    if (member.m_name == name) {
      member.m_listed_state = state;
    }
  }
}

Endpoint TestFleet::Callers(const std::string& instance) const {
  return At(Find(instance).m_first_place);
}

Endpoint TestFleet::Peers(const std::string& instance) const {
  return At(static_cast<std::uint16_t>(Find(instance).m_first_place + 1));
}

Endpoint TestFleet::PlatformEndpoint() const {
  return At(kPlatformPlace);
}

const TestFleet::Member& TestFleet::Find(const std::string& name) const {
  for (const Member& member : m_members) {
    if (member.m_name == name) {
      return member;
    }
  }
  throw std::runtime_error("no instance " + name);
}

Endpoint TestFleet::At(std::uint16_t place) const {
  return Endpoint{"127.0.0.1", m_ports.Port(place)};
}

void TestFleet::WriteInstanceSettings(const Member& member) const {
  const auto place = member.m_first_place;
  const std::string outbound =
      m_settings.m_proxied
          ? fmt::format("outbound_address = {}\n", SourceOf(member.m_domain))
          : "";
  WriteFile(
      fmt::format("{}/{}.ini", m_folder, member.m_name),
      fmt::format(
          "[instance]\nid = {}\nfailure_domain = {}\n\n[listen]\n"
          "callers = {}\npeers = {}\noperators = {}\n{}\n[platform]\n"
          "addresses = {}\n\n[stop]\nbalancer_lag_ms = {}\n\n[policy]\n{}",
          member.m_name, member.m_domain, At(place).ToText(),
          At(static_cast<std::uint16_t>(place + 1)).ToText(),
          At(static_cast<std::uint16_t>(place + 2)).ToText(), outbound,
          Published(PlatformEndpoint()).ToText(), m_settings.m_balancer_lag_ms,
          m_settings.m_policy));
}

std::string TestFleet::ContractText(std::uint64_t version) const {
  return fmt::format(
      "[contract]\ncustomer = acme\nversion = {}\n\n[limits]\n{}\n[query]\n{}\n"
      "[kind look]\ncollection = data\nidempotent = yes\n\n"
      "[kind book]\ncollection = data\nidempotent = no\n",
      version, m_settings.m_limits, m_settings.m_query_terms);
}

std::string TestFleet::InstancesText() const {
  std::string text;
  for (const Member& member : m_members) {
    if (member.m_listed_state == "absent") {
      continue;
    }
    text += fmt::format(
        "[instance {}]\nfailure_domain = {}\npeers = {}\nstate = {}\n\n",
        member.m_name, member.m_domain,
        Published(Peers(member.m_name)).ToText(), member.m_listed_state);
  }
  return text;
}

std::string TestFleet::ProgramPath(const std::string& program) const {
  const std::string folder = m_settings.m_bin_folder.empty()
                                 ? JACKDAWRACK_BIN_DIR
                                 : m_settings.m_bin_folder;
  return folder + "/" + program;
}

std::string TestFleet::LogPath(const std::string& name) const {
  return m_folder + "/" + name + ".log";
}

}  // namespace jackdawrack

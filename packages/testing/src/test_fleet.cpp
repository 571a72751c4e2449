#include "testing/test_fleet.h"

#include <fmt/format.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "core/check.h"

namespace jackdawrack {
namespace {

constexpr std::uint16_t kPlatformPlace = 1;
constexpr std::uint16_t kFirstInstancePlace = 2;
constexpr std::uint16_t kPlacesPerInstance = 3;
constexpr std::uint16_t kFirstUpstreamPlace = 150;
/// The proxy listens for the endpoint at place P at place P + kProxyOffset.
constexpr std::uint16_t kProxyOffset = 300;
constexpr std::uint16_t kProxyControlPlace = 300;
constexpr int kFirstDomainNet = 2;
constexpr Milliseconds kCallTimeout{10'000};
constexpr Milliseconds kControlTimeout{5'000};
constexpr int kReadyPollMs = 10;
constexpr int kControlTries = 50;
constexpr Milliseconds kControlPause{100};

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

std::string BinPath(const TestFleetSettings& settings,
                    const std::string& program) {
  const std::string folder = settings.m_bin_folder.empty()
                                 ? JACKDAWRACK_BIN_DIR
                                 : settings.m_bin_folder;
  return folder + "/" + program;
}

HttpRequest MakePost(const std::string& target, std::string body) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = target;
  request.m_body = std::move(body);
  return request;
}

HttpReply CallOrZero(const Endpoint& endpoint,
                     HttpRequest request,
                     Milliseconds timeout) {
  const auto reply = CallHttp(endpoint, std::move(request), timeout);
  if (!reply) {
    HttpReply none;
    none.m_status = 0;
    none.m_body = reply.error().m_message;
    return none;
  }
  return reply.assume_value();
}

// Calls a stand-in's control interface, again while its connections are all
// taken; throws if it stays so.
HttpReply CallControl(const Endpoint& endpoint, const HttpRequest& request) {
  for (int attempt = 0; attempt < kControlTries; ++attempt) {
    HttpReply reply = CallOrZero(endpoint, request, kControlTimeout);
    if (reply.m_status == 200) {
      return reply;
    }
    std::this_thread::sleep_for(kControlPause);
  }
  throw std::runtime_error("no answer from the control of " +
                           endpoint.ToText());
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
      BinPath(m_settings, "standin_upstreams"),
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

void TestFleet::StartProxy() {
  m_proxy = std::make_unique<ChildProcess>(
      BinPath(m_settings, "standin_proxy"),
      std::vector<std::string>{"--control", At(kProxyControlPlace).ToText(),
                               "--seed",
                               std::to_string(m_settings.m_proxy_seed)},
      LogPath("proxy"));
  std::vector<ProxyLink> links;
  const auto add = [&](const char* kind, const std::string& name,
                       const std::string& domain, const Endpoint& target) {
    links.push_back(ProxyLink{name, kind, domain, Published(target), target});
  };
  add("platform", "platform", "", PlatformEndpoint());
  for (const Member& member : m_members) {
    add("peer", member.m_name, member.m_domain, Peers(member.m_name));
  }
  for (const Upstream& upstream : m_map.m_upstreams) {
    add("upstream", upstream.m_id.Text(), upstream.m_domain.Text(),
        upstream.m_endpoint);
  }
  m_proxy_control = std::make_unique<ProxyControl>(At(kProxyControlPlace));
  m_proxy_control->AddLinks(links);
}

void TestFleet::CutDomains(const std::string& a, const std::string& b) {
  FaultRule there;
  there.m_match = ProxyMatch{SourceOf(a), "", "", b};
  FaultRule back;
  back.m_match = ProxyMatch{SourceOf(b), "", "", a};
  m_proxy_control->Add({there, back});
}

void TestFleet::CutPlatform(const std::string& domain) {
  FaultRule rule;
  rule.m_match = ProxyMatch{SourceOf(domain), "", "platform", ""};
  m_proxy_control->Add({rule});
}

void TestFleet::SilencePeers() {
  m_proxy_control->Silence(ProxyMatch{"", "", "peer", ""});
}

void TestFleet::SilenceUpstreams() {
  m_proxy_control->Silence(ProxyMatch{"", "", "upstream", ""});
}

std::string TestFleet::SourceOf(const std::string& domain) const {
  const auto& domains = m_settings.m_domains;
  const auto found = std::find(domains.begin(), domains.end(), domain);
  JR_CHECK(found != domains.end());
  return fmt::format("127.0.{}.1", kFirstDomainNet + (found - domains.begin()));
}

Endpoint TestFleet::Published(const Endpoint& direct) const {
  Endpoint published = direct;
  if (m_settings.m_proxied) {
    published.m_port += kProxyOffset;
  }
  return published;
}

std::string TestFleet::MapText() const {
  TestMap published = m_map;
  for (Upstream& upstream : published.m_upstreams) {
    upstream.m_endpoint = Published(upstream.m_endpoint);
  }
  return published.ToText();
}

void TestFleet::StartPlatform() {
  const std::string values = m_folder + "/values";
  std::filesystem::create_directories(values + "/contracts");
  std::filesystem::create_directories(values + "/map");
  WriteFile(values + "/contracts/acme.ini", ContractText(1));
  WriteFile(values + "/map/data.ini", MapText());
  WriteFile(values + "/instances.ini", InstancesText());
  m_platform = std::make_unique<ChildProcess>(
      BinPath(m_settings, "standin_platform"),
      std::vector<std::string>{"--listen", PlatformEndpoint().ToText(),
                               "--values", values},
      LogPath("platform"));
}

void TestFleet::StartInstance(const std::string& name) {
  for (Member& member : m_members) {
    if (member.m_name == name) {
      member.m_process = std::make_unique<ChildProcess>(
          BinPath(m_settings, "jackdawrackd"),
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
  (void)CallHttp(PlatformEndpoint(), std::move(request), kControlTimeout);
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

HttpReply TestFleet::Query(const std::string& instance,
                           const std::string& body) {
  return CallOrZero(
      Callers(instance),
      MakePost("/v1/query",
               boost::json::serialize(boost::json::object{
                   {"customer", "acme"}, {"kind", "look"}, {"body", body}})),
      kCallTimeout);
}

HttpReply TestFleet::Book(const std::string& instance,
                          const std::string& key,
                          const std::string& idempotency_key,
                          const std::string& body) {
  HttpRequest request =
      MakePost("/v1/request",
               boost::json::serialize(boost::json::object{{"customer", "acme"},
                                                          {"kind", "book"},
                                                          {"key", key},
                                                          {"body", body}}));
  request.m_headers.push_back({"Idempotency-Key", idempotency_key});
  return CallOrZero(Callers(instance), std::move(request), kCallTimeout);
}

HttpReply TestFleet::Operator(const std::string& instance,
                              const std::string& target,
                              Milliseconds timeout) {
  HttpRequest request;
  request.m_target = target;
  return CallOrZero(
      At(static_cast<std::uint16_t>(Find(instance).m_first_place + 2)),
      std::move(request), timeout);
}

void TestFleet::SetUpstream(const std::string& upstream,
                            const std::string& json) {
  (void)CallControl(m_map.Find(upstream).m_endpoint,
                    MakePost("/control/set", json));
}

boost::json::object TestFleet::UpstreamCounts(const std::string& upstream) {
  HttpRequest request;
  request.m_target = "/control/counts";
  const HttpReply reply = CallControl(m_map.Find(upstream).m_endpoint, request);
  return ParseJsonObject(reply.m_body).value_or(boost::json::object());
}

std::uint64_t TestFleet::Executions(const std::string& idempotency_key) {
  std::uint64_t count = 0;
  for (const Upstream& upstream : m_map.m_upstreams) {
    const boost::json::object counts = UpstreamCounts(upstream.m_id.Text());
    if (const auto* executions = counts.if_contains("executions")) {
      count += JsonNumber(executions->as_object(), idempotency_key.c_str());
    }
  }
  return count;
}

ExecutionCounts TestFleet::AllExecutions() {
  ExecutionCounts total;
  for (const Upstream& upstream : m_map.m_upstreams) {
    const boost::json::object counts = UpstreamCounts(upstream.m_id.Text());
    const auto* executions = counts.if_contains("executions");
    if (executions == nullptr) {
      throw std::runtime_error("no counts of " + upstream.m_id.Text());
    }
    for (const auto& [key, count] : executions->as_object()) {
      total[std::string(key)] += count.to_number<std::uint64_t>();
    }
  }
  return total;
}

std::uint64_t TestFleet::ContractVersion(const std::string& instance,
                                         Milliseconds timeout) {
  return ContractNumber(instance, "version", timeout);
}

std::uint64_t TestFleet::ContractDeadlineMs(const std::string& instance) {
  return ContractNumber(instance, "deadline_ms", kControlTimeout);
}

std::uint64_t TestFleet::ContractNumber(const std::string& instance,
                                        const char* name,
                                        Milliseconds timeout) {
  const auto reply =
      ParseJsonObject(Operator(instance, "/v1/contracts", timeout).m_body);
  if (!reply || !reply->contains("contracts")) {
    return 0;
  }
  for (const auto& contract : reply->at("contracts").as_array()) {
    if (JsonText(contract.as_object(), "customer") == "acme") {
      return JsonNumber(contract.as_object(), name);
    }
  }
  return 0;
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

std::string TestFleet::LogPath(const std::string& name) const {
  return m_folder + "/" + name + ".log";
}

}  // namespace jackdawrack

#include "model/instance_settings.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kMaxWorkerThreads = 256;
constexpr std::uint64_t kMaxBalancerLagMs = 600'000;
constexpr std::uint64_t kLeastBodyBytes = 1024;
constexpr std::uint64_t kGreatestBodyBytes = 64 << 20;

std::string ReadOutboundAddress(IniSectionReader& reader) {
  const std::string address = reader.Text("outbound_address", "");
  if (!address.empty() && !Endpoint::Parse(address + ":1")) {
    reader.Refuse("outbound_address", "accepted is an IP address");
  }
  return address;
}

}  // namespace

InstanceSettings InstanceSettings::Parse(const std::string& file,
                                         const std::string& text,
                                         std::vector<IniProblem>& problems) {
  const IniDocument document = IniDocument::Parse(file, text, problems);
  document.RefuseUnknownSections(
      {"instance", "listen", "platform", "stop", "baseline", "policy"},
      problems);
  document.CheckNames({}, problems);
  InstanceSettings settings;

  // Read who this instance is
  IniSectionReader instance(file, document.Require("instance", problems),
                            problems);
  settings.m_id = InstanceId(instance.Text("id"));
  settings.m_domain = FailureDomain(instance.Text("failure_domain"));
  settings.m_worker_threads =
      instance.Number("worker_threads", NumberBounds{1, kMaxWorkerThreads}, 2);
  instance.RefuseUnknownKeys();

  // Read where it listens
  IniSectionReader listen(file, document.Require("listen", problems), problems);
  settings.m_callers = ReadEndpoint(listen, "callers");
  settings.m_peers = ReadEndpoint(listen, "peers");
  settings.m_operators = ReadEndpoint(listen, "operators");
  settings.m_outbound_address = ReadOutboundAddress(listen);
  settings.m_max_body_bytes =
      listen.Number("max_body_bytes",
                    NumberBounds{kLeastBodyBytes, kGreatestBodyBytes}, 1 << 20);
  listen.RefuseUnknownKeys();

  // Read where the configuration service is
  IniSectionReader platform(file, document.Require("platform", problems),
                            problems);
  for (const std::string& word : platform.Words("addresses")) {
    if (const auto endpoint = Endpoint::Parse(word)) {
      settings.m_platform.push_back(*endpoint);
    } else {
      platform.Refuse("addresses", "'" + word + "' is not IP:PORT");
    }
  }
  if (settings.m_platform.empty()) {
    platform.Refuse("addresses", "missing; accepted are IP:PORT, by spaces");
  }
  platform.RefuseUnknownKeys();

  // Read how a planned stop goes
  IniSectionReader stop(file, document.FindOrEmpty("stop"), problems);
  settings.m_balancer_lag_ms = static_cast<std::uint32_t>(
      stop.Number("balancer_lag_ms", NumberBounds{0, kMaxBalancerLagMs}, 1000));
  stop.RefuseUnknownKeys();

  // Read which query mechanisms are on
  settings.m_query_policy =
      QueryPolicySettings::Read(file, document.FindOrEmpty("policy"), problems);

  // Read what is measured against
  IniSectionReader baseline(file, document.FindOrEmpty("baseline"), problems);
  settings.m_direct_baseline = baseline.Flag("direct_baseline", false);
  baseline.RefuseUnknownKeys();
  return settings;
}

}  // namespace jackdawrack

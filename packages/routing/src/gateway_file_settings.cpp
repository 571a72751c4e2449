#include "routing/gateway_file_settings.h"

#include <sstream>

namespace jackdawrack {
namespace {

constexpr std::uint64_t kMaxMs = 3'600'000;
constexpr std::uint64_t kMaxSample = 1'000'000;
constexpr std::uint64_t kMaxLinesPerSecond = 100'000;
constexpr std::uint64_t kMaxSlack = 1'000'000;

Milliseconds ReadSeconds(IniSectionReader& reader, const char* key) {
  const std::string text = reader.Text(key);
  char* end = nullptr;
  const double seconds = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(seconds >= 0) ||
      seconds * 1000 > static_cast<double>(kMaxMs)) {
    reader.Refuse(key, "accepted are seconds from 0 up");
    return {};
  }
  return Milliseconds(static_cast<Milliseconds::rep>(seconds * 1000));
}

std::vector<Endpoint> ReadSeeds(IniSectionReader& reader) {
  std::vector<Endpoint> seeds;
  std::istringstream texts(reader.Text("seeds", ""));
  for (std::string text; std::getline(texts, text, ',');) {
    if (const auto endpoint = Endpoint::Parse(text)) {
      seeds.push_back(*endpoint);
    } else {
      reader.Refuse("seeds", "'" + text + "' is not IP:PORT");
    }
  }
  return seeds;
}

}  // namespace

bool GatewayFileSettings::IsMeant(const IniDocument& document) {
  return !document.FindOrEmpty("gateway").m_entries.empty();
}

GatewayFileSettings GatewayFileSettings::Parse(
    const std::string& file,
    const std::string& text,
    std::vector<IniProblem>& problems) {
  const IniDocument document = IniDocument::Parse(file, text, problems);
  document.RefuseUnknownSections(
      {"gateway", "listen", "store", "bounds", "log"}, problems);
  document.CheckNames({}, problems);
  GatewayFileSettings settings;

  // Read who this instance is
  IniSectionReader gateway(file, document.Require("gateway", problems),
                           problems);
  settings.m_id = InstanceId(gateway.Text("instance"));
  settings.m_domain = FailureDomain(gateway.Text("failure_domain"));
  settings.m_seeds = ReadSeeds(gateway);
  gateway.RefuseUnknownKeys();

  // Read where it listens
  IniSectionReader listen(file, document.Require("listen", problems), problems);
  settings.m_callers = ReadEndpoint(listen, "callers");
  settings.m_readiness = ReadEndpoint(listen, "readiness");
  settings.m_peers = ReadEndpoint(listen, "peers");
  settings.m_operators = ReadEndpoint(listen, "operators");
  listen.RefuseUnknownKeys();

  // Read where the store is
  IniSectionReader store(file, document.Require("store", problems), problems);
  settings.m_store = ReadEndpoint(store, "address");
  store.RefuseUnknownKeys();

  // Read the bounds that are promised
  IniSectionReader bounds(file, document.Require("bounds", problems), problems);
  settings.m_retry_budget.m_ratio = bounds.Ratio("repeat_ratio");
  settings.m_retry_budget.m_slack = static_cast<double>(
      bounds.Number("repeat_slack", NumberBounds{0, kMaxSlack}));
  settings.m_retry_budget.m_window = ReadSeconds(bounds, "repeat_window_s");
  settings.m_stable_time =
      Milliseconds(bounds.Number("stable_ms", NumberBounds{1, kMaxMs}));
  settings.m_grace = ReadSeconds(bounds, "grace_s");
  bounds.RefuseUnknownKeys();
  if (settings.m_retry_budget.m_window <= Milliseconds(0)) {
    bounds.Refuse("repeat_window_s", "has to be more than 0");
  }

  // Read how much is logged
  IniSectionReader log(file, document.FindOrEmpty("log"), problems);
  settings.m_log_sample = log.Number(
      "sample_one_in", NumberBounds{1, kMaxSample}, settings.m_log_sample);
  settings.m_log_lines_per_second = static_cast<std::uint32_t>(
      log.Number("lines_per_second", NumberBounds{1, kMaxLinesPerSecond},
                 settings.m_log_lines_per_second));
  log.RefuseUnknownKeys();
  return settings;
}

}  // namespace jackdawrack

#include "routing/gateway_file_settings.h"

#include <sstream>

namespace jackdawrack {
namespace {

constexpr double kMaxMs = 3'600'000;
constexpr double kMsPerSecond = 1'000;
constexpr std::uint64_t kMaxSample = 1'000'000;
constexpr std::uint64_t kMaxLinesPerSecond = 100'000;
constexpr std::uint64_t kMinResponseBytes = 1 << 10;
constexpr std::uint64_t kMaxMemoryBytes = std::uint64_t{1} << 40;
constexpr double kMaxSlack = 1'000'000;

Milliseconds ReadSeconds(IniSectionReader& reader, const char* key) {
  const double seconds =
      reader.Decimal(key, DecimalBounds{0, kMaxMs / kMsPerSecond});
  return Milliseconds(static_cast<Milliseconds::rep>(seconds * kMsPerSecond));
}

// Reads a duration of at least one millisecond; a fraction of a millisecond is
// dropped.
Milliseconds ReadMilliseconds(IniSectionReader& reader,
                              const char* key,
                              std::optional<Milliseconds> fallback = {}) {
  std::optional<double> fallback_ms;
  if (fallback) {
    fallback_ms = static_cast<double>(fallback->count());
  }
  return Milliseconds(static_cast<Milliseconds::rep>(
      reader.Decimal(key, DecimalBounds{1, kMaxMs}, fallback_ms)));
}

// Reads one "failure domain = region" line per failure domain.
std::map<FailureDomain, std::string> ReadRegions(const IniSection& section,
                                                 IniSectionReader reader) {
  std::map<FailureDomain, std::string> regions;
  for (const IniEntry& entry : section.m_entries) {
    regions[FailureDomain(entry.m_key)] = reader.Text(entry.m_key);
  }
  return regions;
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

bool GatewayFileSettings::IsGatewayFile(const IniDocument& document) {
  return !document.FindOrEmpty("gateway").m_entries.empty();
}

GatewayFileSettings GatewayFileSettings::Parse(
    const std::string& file,
    const std::string& text,
    std::vector<IniProblem>& problems) {
  const IniDocument document = IniDocument::Parse(file, text, problems);
  document.RefuseUnknownSections(
      {"gateway", "regions", "listen", "store", "bounds", "limits", "log"},
      problems);
  document.CheckNames({}, problems);
  GatewayFileSettings settings;

  // Read the identity of the instance
  IniSectionReader gateway(file, document.Require("gateway", problems),
                           problems);
  settings.m_id = InstanceId(gateway.Text("instance"));
  settings.m_domain = FailureDomain(gateway.Text("failure_domain"));
  settings.m_seeds = ReadSeeds(gateway);
  settings.m_is_first_start = gateway.Flag("first_start", false);
  gateway.RefuseUnknownKeys();
  const IniSection& regions = document.FindOrEmpty("regions");
  settings.m_regions =
      ReadRegions(regions, IniSectionReader(file, regions, problems));

  // Read the listen endpoints
  IniSectionReader listen(file, document.Require("listen", problems), problems);
  settings.m_callers = ReadEndpoint(listen, "callers");
  settings.m_readiness = ReadEndpoint(listen, "readiness");
  settings.m_peers = ReadEndpoint(listen, "peers");
  settings.m_operators = ReadEndpoint(listen, "operators");
  listen.RefuseUnknownKeys();

  // Read the endpoint of the store
  IniSectionReader store(file, document.Require("store", problems), problems);
  settings.m_store = ReadEndpoint(store, "address");
  store.RefuseUnknownKeys();

  // Read the bounds on repeats, staleness and shutdown time
  IniSectionReader bounds(file, document.Require("bounds", problems), problems);
  settings.m_retry_budget.m_ratio = bounds.Ratio("repeat_ratio");
  settings.m_retry_budget.m_slack =
      bounds.Decimal("repeat_slack", DecimalBounds{0, kMaxSlack});
  settings.m_retry_budget.m_window = ReadSeconds(bounds, "repeat_window_s");
  settings.m_max_staleness = ReadMilliseconds(bounds, "stable_ms");
  settings.m_drain_bound =
      ReadMilliseconds(bounds, "drain_ms", settings.m_drain_bound);
  settings.m_apply_bound =
      ReadMilliseconds(bounds, "apply_ms", settings.m_apply_bound);
  settings.m_shutdown_grace_period = ReadSeconds(bounds, "grace_s");
  bounds.RefuseUnknownKeys();
  if (settings.m_retry_budget.m_window <= Milliseconds(0)) {
    bounds.Refuse("repeat_window_s", "must be greater than 0");
  }

  // Read the limits on memory
  IniSectionReader limits(file, document.FindOrEmpty("limits"), problems);
  settings.m_max_response_bytes = limits.Number(
      "response_bytes", NumberBounds{kMinResponseBytes, kMaxMemoryBytes},
      settings.m_max_response_bytes);
  settings.m_max_buffered_bytes = limits.Number(
      "buffered_bytes", NumberBounds{kMinResponseBytes, kMaxMemoryBytes},
      settings.m_max_buffered_bytes);
  limits.RefuseUnknownKeys();
  if (settings.m_max_response_bytes > settings.m_max_buffered_bytes) {
    limits.Refuse("response_bytes", "must not exceed buffered_bytes");
  }

  // Read the log limits
  IniSectionReader log(file, document.FindOrEmpty("log"), problems);
  settings.m_log_sample = log.Number(
      "sample_one_in", NumberBounds{1, kMaxSample}, settings.m_log_sample);
  settings.m_log_lines_per_second = static_cast<std::uint32_t>(
      log.Number("lines_per_second", NumberBounds{1, kMaxLinesPerSecond},
                 settings.m_log_lines_per_second));
  log.RefuseUnknownKeys();
  return settings;
}

void GatewayFileSettings::ApplyReloadable(const GatewayFileSettings& next) {
  m_seeds = next.m_seeds;
  m_retry_budget.m_ratio = next.m_retry_budget.m_ratio;
  m_retry_budget.m_slack = next.m_retry_budget.m_slack;
  m_shutdown_grace_period = next.m_shutdown_grace_period;
  m_log_sample = next.m_log_sample;
  m_log_lines_per_second = next.m_log_lines_per_second;
}

std::vector<std::string> GatewayFileSettings::KeysRequiringRestart(
    const GatewayFileSettings& next) const {
  std::vector<std::string> keys;
  const auto compare = [&keys](const char* key, const auto& current,
                               const auto& updated) {
    if (!(current == updated)) {
      keys.emplace_back(key);
    }
  };
  compare("[gateway] instance", m_id, next.m_id);
  compare("[gateway] failure_domain", m_domain, next.m_domain);
  compare("[regions]", m_regions, next.m_regions);
  compare("[listen] callers", m_callers, next.m_callers);
  compare("[listen] readiness", m_readiness, next.m_readiness);
  compare("[listen] peers", m_peers, next.m_peers);
  compare("[listen] operators", m_operators, next.m_operators);
  compare("[store] address", m_store, next.m_store);
  compare("[limits] response_bytes", m_max_response_bytes,
          next.m_max_response_bytes);
  compare("[limits] buffered_bytes", m_max_buffered_bytes,
          next.m_max_buffered_bytes);
  compare("[bounds] repeat_window_s", m_retry_budget.m_window,
          next.m_retry_budget.m_window);
  compare("[bounds] stable_ms", m_max_staleness, next.m_max_staleness);
  compare("[bounds] drain_ms", m_drain_bound, next.m_drain_bound);
  compare("[bounds] apply_ms", m_apply_bound, next.m_apply_bound);
  return keys;
}

}  // namespace jackdawrack

#include "tool/load_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <charconv>
#include <optional>

#include "endpoint_option.h"
#include "tool/load_run.h"

namespace jackdawrack {
namespace {

constexpr double kMaxDurationS = 3600;
constexpr double kMaxRate = 100'000;
constexpr std::size_t kMaxClients = 10'000;
constexpr std::size_t kMaxConnections = 10'000;
constexpr double kMsPerSecond = 1000;

// Reads "NAME" or "NAME=WEIGHT".
std::optional<LoadKind> ParseKind(const std::string& text, bool is_query) {
  LoadKind kind;
  kind.m_is_query = is_query;
  const std::size_t at = text.find('=');
  kind.m_name = text.substr(0, at);
  if (at != std::string::npos) {
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + at + 1, end, kind.m_weight);
    if (read.ec != std::errc() || read.ptr != end) {
      return std::nullopt;
    }
  }
  if (kind.m_name.empty() || kind.m_weight == 0) {
    return std::nullopt;
  }
  return kind;
}

CLI::Validator KindValidator() {
  return CLI::Validator(
      [](const std::string& text) {
        return ParseKind(text, true)
                   ? std::string()
                   : "'" + text + "': accepted is KIND or KIND=WEIGHT";
      },
      "KIND[=WEIGHT]");
}

void AddKinds(const std::vector<std::string>& texts,
              bool is_query,
              std::vector<LoadKind>& kinds) {
  for (const std::string& text : texts) {
    kinds.push_back(ParseKind(text, is_query).value());
  }
}

Milliseconds ToMilliseconds(double seconds) {
  return Milliseconds(static_cast<std::int64_t>(seconds * kMsPerSecond));
}

}  // namespace

void LoadCommand::Declare(CLI::App& app) {
  CLI::App* command = app.add_subcommand(
      kName, "Sends load as callers do, and prints outcomes and latencies.");
  command->footer(
      "Examples:\n"
      "  open loop, 200 arrivals a second, nine queries to one booking:\n"
      "    jackdawrack load --at 127.0.0.1:21100 --at 127.0.0.1:21101 "
      "--customer alpenblick --query availability=9 --request booking=1 "
      "--rate 200 --duration 10\n"
      "  closed loop of 16 clients:\n"
      "    jackdawrack load --at 127.0.0.1:21100 --customer alpenblick "
      "--query availability --clients 16\n"
      "Latency counts from the planned arrival and over answered requests; "
      "qps counts complete ones.\n"
      "Exit codes: 0 at least one request was complete, 1 none, 2 bad use.");
  command
      ->add_option("--at", m_at,
                   "IP:PORT of a callers' listener; may be repeated")
      ->required()
      ->check(EndpointValidator());
  command->add_option("--customer", m_customer, "customer named in a contract")
      ->required();
  command->add_option("--query", m_queries, "kind of query, with its weight")
      ->check(KindValidator());
  command
      ->add_option("--request", m_requests,
                   "kind of non-idempotent request, with its weight")
      ->check(KindValidator());
  command
      ->add_option("--rate", m_settings.m_rate,
                   "arrivals a second; without it the loop is closed")
      ->check(CLI::Range(0.1, kMaxRate));
  command
      ->add_option("--clients", m_settings.m_clients,
                   "clients of the closed loop")
      ->check(CLI::Range(std::size_t{1}, kMaxClients));
  command
      ->add_option("--connections", m_settings.m_max_connections,
                   "greatest number of connections of the open loop")
      ->check(CLI::Range(std::size_t{1}, kMaxConnections));
  command->add_option("--duration", m_duration_s, "counted time, in seconds")
      ->check(CLI::Range(0.1, kMaxDurationS));
  command
      ->add_option("--warmup", m_warmup_s,
                   "time before it that is not counted, in seconds")
      ->check(CLI::Range(0.0, kMaxDurationS));
  command->add_option("--count", m_settings.m_max_requests,
                      "greatest number of requests");
  command
      ->add_option("--timeout-ms", m_timeout_ms,
                   "time after which a request without reply has failed")
      ->check(CLI::Range(1U, 600'000U));
  command->add_option("--seed", m_settings.m_seed,
                      "seed of arrivals and of the mix");
  command->add_option("--body", m_settings.m_body, "start of every body");
  command->add_flag("--json", m_as_json, "print one JSON object instead");
}

ExitCode LoadCommand::Run() {
  AddKinds(m_queries, true, m_settings.m_kinds);
  AddKinds(m_requests, false, m_settings.m_kinds);
  if (m_settings.m_kinds.empty()) {
    fmt::print(stderr, "accepted is at least one --query or --request\n");
    return ExitCode::kBadUse;
  }
  m_settings.m_targets = ToEndpoints(m_at);
  m_settings.m_customer = Customer(m_customer);
  m_settings.m_duration = ToMilliseconds(m_duration_s);
  m_settings.m_warmup = ToMilliseconds(m_warmup_s);
  m_settings.m_timeout = Milliseconds(m_timeout_ms);
  const LoadReport report = LoadRun(m_settings).Run();
  fmt::print("{}", m_as_json ? report.ToJson() + "\n" : report.ToText());
  return report.m_rows.back().m_counts.m_complete > 0 ? ExitCode::kOk
                                                      : ExitCode::kFailed;
}

}  // namespace jackdawrack

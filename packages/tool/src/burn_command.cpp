#include "tool/burn_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <sstream>
#include <thread>

#include "core/clock.h"
#include "endpoint_option.h"
#include "tool/burn_tracker.h"
#include "tool/instance_reading.h"

namespace jackdawrack {
namespace {

constexpr double kMaxIntervalS = 3600;
constexpr std::size_t kMaxSamples = 10'000;

void TakeSample(const std::vector<Endpoint>& endpoints, BurnTracker& tracker) {
  tracker.BeginSample();
  for (const InstanceReading& reading : ReadInstances(endpoints, "/metrics")) {
    const std::string at = reading.m_endpoint.ToText();
    const auto metrics = MetricsSnapshot::Parse(reading.m_body);
    if (!reading.m_is_read) {
      tracker.NotRead(at, reading.m_problem);
    } else if (!metrics) {
      tracker.NotRead(at, "the reply is not in the Prometheus text format");
    } else {
      tracker.Add(at, *metrics);
    }
  }
}

}  // namespace

void BurnCommand::Declare(CLI::App& app) {
  CLI::App* command = app.add_subcommand(
      kName, "Reports how fast latency and coverage budgets are spent.");
  command->footer(
      "Example:\n"
      "  jackdawrack burn --at 127.0.0.1:21300 --at 127.0.0.1:21301 "
      "--interval 2 --samples 30 --html burn.html\n"
      "A burn rate of 1 spends the budget exactly; 2 spends it in half of the "
      "time. Objectives by customer go into an INI file:\n"
      "  [objective alpenblick]\n"
      "  latency_ms = 300\n"
      "  latency_share = 0.99\n"
      "  coverage_share = 0.999\n"
      "Exit codes: 0 all instances were read in every sample, 1 one was not, "
      "2 bad use.");
  DeclareInstances(*command, m_at);
  command->add_option("--interval", m_interval_s, "seconds between samples")
      ->check(CLI::Range(0.1, kMaxIntervalS));
  command->add_option("--samples", m_samples, "number of samples")
      ->check(CLI::Range(std::size_t{1}, kMaxSamples));
  command
      ->add_option("--latency-ms", m_objective.m_latency_ms,
                   "latency objective of customers not in --objectives")
      ->check(CLI::Range(1U, 600'000U));
  command
      ->add_option("--latency-share", m_objective.m_latency_share,
                   "share of queries to be within it")
      ->check(CLI::Range(0.0, 1.0));
  command
      ->add_option("--coverage-share", m_objective.m_coverage_share,
                   "share of queries to be answered whole")
      ->check(CLI::Range(0.0, 1.0));
  command->add_option("--objectives", m_objectives_file,
                      "INI file of sections [objective CUSTOMER]");
  command->add_option("--html", m_html_file, "write the report there as HTML");
}

ExitCode BurnCommand::Run() {
  // Read the objectives
  BurnObjectives objectives(m_objective);
  if (!m_objectives_file.empty()) {
    std::vector<IniProblem> problems;
    std::ifstream stream(m_objectives_file);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream) {
      problems.push_back(
          IniProblem{m_objectives_file, "", "", "cannot be read"});
    }
    objectives.Read(m_objectives_file, text.str(), problems);
    if (!problems.empty()) {
      fmt::print(stderr, "{}", JoinProblems(problems));
      return ExitCode::kBadUse;
    }
  }

  // Sample and print
  const BurnReport report = Sample(objectives);
  fmt::print("{}", report.ToText());
  if (!m_html_file.empty()) {
    std::ofstream page(m_html_file);
    page << report.ToHtml();
    if (!page.flush()) {
      fmt::print(stderr, "{}: cannot be written\n", m_html_file);
      return ExitCode::kFailed;
    }
  }
  return report.m_unread.empty() ? ExitCode::kOk : ExitCode::kFailed;
}

BurnReport BurnCommand::Sample(const BurnObjectives& objectives) const {
  const std::vector<Endpoint> endpoints = ToEndpoints(m_at);
  BurnTracker tracker(objectives, m_interval_s);
  const std::chrono::duration<double> interval(m_interval_s);
  TimePoint next = SteadyClock().Now();
  for (std::size_t i = 0; i < m_samples; ++i) {
    std::this_thread::sleep_until(next);
    TakeSample(endpoints, tracker);
    next += std::chrono::duration_cast<Duration>(interval);
  }
  return tracker.Report();
}

}  // namespace jackdawrack

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <sstream>

#include "core/control_signals.h"
#include "core/crash_log.h"
#include "core/event.h"
#include "daemon/daemon.h"
#include "daemon/gateway_daemon.h"
#include "platform/wire_names.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitCannotStart = 1;
constexpr int kExitBadSettings = 2;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// The exit code if the process ends after reading its settings.
std::optional<int> Check(const std::string& path,
                         const std::vector<jackdawrack::IniProblem>& problems,
                         bool only_check) {
  if (!problems.empty()) {
    jackdawrack::LogEvent(jackdawrack::EventId::kSettingsRefused, "{}",
                          jackdawrack::JoinProblems(problems));
    return kExitBadSettings;
  }
  if (only_check) {
    fmt::print("{}: ok\n", path);
    return kExitOk;
  }
  return std::nullopt;
}

int FailStart(std::string_view reason) {
  jackdawrack::LogEvent(jackdawrack::EventId::kStartFailed, "reason=\"{}\"",
                        reason);
  return kExitCannotStart;
}

// Serves until told to stop.
template <typename DaemonType>
int Serve(DaemonType& daemon) {
  const auto started = daemon.Start();
  if (!started) {
    return FailStart(started.error().m_message);
  }
  daemon.RunUntilSignal();
  jackdawrack::BlockControlSignals();
  return kExitOk;
}

bool IsForGateway(const std::string& path, const std::string& text) {
  std::vector<jackdawrack::IniProblem> ignored;
  return jackdawrack::GatewayFileSettings::IsGatewayFile(
      jackdawrack::IniDocument::Parse(path, text, ignored));
}

int RunGateway(const std::string& path,
               const std::string& text,
               bool only_check) {
  std::vector<jackdawrack::IniProblem> problems;
  const auto settings =
      jackdawrack::GatewayFileSettings::Parse(path, text, problems);
  if (const auto exit_code = Check(path, problems, only_check)) {
    return *exit_code;
  }
  jackdawrack::ConfigureEvents(settings.m_id.Text(),
                               jackdawrack::EventLevel::kInfo);
  jackdawrack::ConfigureEventOutput(
      {.m_is_buffered = true,
       .m_max_lines_per_second = settings.m_log_lines_per_second});
  jackdawrack::GatewayDaemon daemon(settings, path);
  return Serve(daemon);
}

// Runs the kind of instance that the settings are for.
int Run(const std::string& settings_path, bool only_check) {
  const auto text = ReadFile(settings_path);
  std::vector<jackdawrack::IniProblem> problems;
  if (!text) {
    problems.push_back({settings_path, "", "", "cannot be read"});
  }
  if (text && IsForGateway(settings_path, *text)) {
    return RunGateway(settings_path, *text, only_check);
  }
  const auto settings = jackdawrack::InstanceSettings::Parse(
      settings_path, text.value_or(""), problems);
  if (const auto exit_code = Check(settings_path, problems, only_check)) {
    return *exit_code;
  }
  jackdawrack::ConfigureEvents(settings.m_id.Text(),
                               jackdawrack::EventLevel::kInfo);
  jackdawrack::Daemon daemon(settings);
  return Serve(daemon);
}

}  // namespace

int main(int argc, char** argv) {
  jackdawrack::BlockControlSignals();
  jackdawrack::IgnoreBrokenPipes();
  jackdawrack::InstallCrashLog();
  CLI::App app{
      "jackdawrackd: one instance of the query tier.\n"
      "Exit codes: 0 stopped as planned, 1 cannot start, 2 bad settings."};
  std::string settings_path;
  bool only_check = false;
  app.add_option("--settings", settings_path, "INI file of this instance")
      ->envname(jackdawrack::platform::kSettingsVariable)
      ->required();
  app.add_flag("--check", only_check, "check the settings and exit");
  app.set_version_flag("--version", JACKDAWRACK_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitBadSettings;
  }

  return Run(settings_path, only_check);
}

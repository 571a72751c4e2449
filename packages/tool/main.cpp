#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <tuple>

#include "tool/burn_command.h"
#include "tool/check_command.h"
#include "tool/contracts_command.h"
#include "tool/explain_command.h"
#include "tool/load_command.h"
#include "tool/query_command.h"
#include "tool/request_command.h"
#include "tool/status_command.h"

namespace {

using jackdawrack::Command;
using jackdawrack::ExitCode;

/// All subcommands.
using Commands = std::tuple<jackdawrack::CheckCommand,
                            jackdawrack::QueryCommand,
                            jackdawrack::RequestCommand,
                            jackdawrack::StatusCommand,
                            jackdawrack::ContractsCommand,
                            jackdawrack::ExplainCommand,
                            jackdawrack::LoadCommand,
                            jackdawrack::BurnCommand>;

// Runs the command if it is the one that was named.
template <Command T>
bool RunIfNamed(const CLI::App& app, T& command, ExitCode& code) {
  if (!app.got_subcommand(T::kName)) {
    return false;
  }
  code = command.Run();
  return true;
}

ExitCode ParseAndRun(CLI::App& app, int argc, char** argv, Commands& commands) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? ExitCode::kOk : ExitCode::kBadUse;
  }
  ExitCode code = ExitCode::kBadUse;
  std::apply(
      [&](auto&... command) { (void)(RunIfNamed(app, command, code) || ...); },
      commands);
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "jackdawrack: the operators' command of the query tier. It reads from "
      "instances and changes nothing, but for query, request and load, which "
      "send requests as a caller does."};
  app.footer(
      "'jackdawrack COMMAND --help' shows the options of a command and an "
      "example.\n"
      "Exit codes: 0 done, 1 failed or problems found, 2 bad use.");
  app.set_version_flag("--version", JACKDAWRACK_VERSION);
  app.require_subcommand(1);

  Commands commands;
  std::apply([&](auto&... command) { (command.Declare(app), ...); }, commands);
  return static_cast<int>(ParseAndRun(app, argc, argv, commands));
}

#include "tool/query_command.h"

#include <CLI/CLI.hpp>

#include "caller_call.h"

namespace jackdawrack {

void QueryCommand::Declare(CLI::App& app) {
  CLI::App* command =
      app.add_subcommand(kName, "Sends one query and prints the answer.");
  command->footer(
      "Example:\n"
      "  jackdawrack query --at 127.0.0.1:21100 --customer alpenblick "
      "--kind availability --body 2026-05-01\n"
      "Exit codes: 0 answered with enough coverage, 1 not, 2 bad use.");
  m_options.Declare(*command);
}

ExitCode QueryCommand::Run() {
  return PrintCall(m_options.m_at,
                   MakePost("/v1/query", {{"customer", m_options.m_customer},
                                          {"kind", m_options.m_kind},
                                          {"body", m_options.m_body}}));
}

}  // namespace jackdawrack

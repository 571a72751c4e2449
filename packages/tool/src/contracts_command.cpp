#include "tool/contracts_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>

#include "endpoint_option.h"
#include "tool/contract_report.h"
#include "tool/instance_reading.h"

namespace jackdawrack {

void ContractsCommand::Declare(CLI::App& app) {
  CLI::App* command = app.add_subcommand(
      kName, "Shows the contract in force for each customer on instances.");
  command->footer(
      "Example:\n"
      "  jackdawrack contracts --at 127.0.0.1:21300 --at 127.0.0.1:21301\n"
      "Exit codes: 0 all were read and agree, 1 one could not be read or "
      "instances disagree, 2 bad use.");
  DeclareInstances(*command, m_at);
}

ExitCode ContractsCommand::Run() {
  std::vector<InstanceReading> readings =
      ReadInstances(ToEndpoints(m_at), "/v1/contracts");
  ContractReport report;
  for (InstanceReading& reading : readings) {
    if (reading.m_is_read && !report.Add(reading.m_body)) {
      reading.m_is_read = false;
      reading.m_problem = "the reply is not a list of contracts";
    }
  }
  fmt::print("{}", report.ToText());

  // Name what is wrong
  const std::vector<Customer> disagreements = report.Disagreements();
  for (const Customer& customer : disagreements) {
    fmt::print(stderr, "{}: instances disagree\n", customer.Text());
  }
  const bool is_good = ReportUnread(readings) == 0 && disagreements.empty();
  return is_good ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace jackdawrack

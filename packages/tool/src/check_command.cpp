#include "tool/check_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <sstream>

#include "model/collection_map.h"
#include "model/contract.h"
#include "model/instance.h"
#include "model/instance_settings.h"
#include "routing/gateway_file_settings.h"

namespace jackdawrack {
namespace {

void CheckText(const std::string& path,
               const std::string& text,
               std::vector<IniProblem>& problems) {
  std::vector<IniProblem> syntax;
  const IniDocument document = IniDocument::Parse(path, text, syntax);
  if (!syntax.empty()) {
    problems = syntax;
    return;
  }
  if (GatewayFileSettings::IsGatewayFile(document)) {
    GatewayFileSettings::Parse(path, text, problems);
  } else if (!document.All("contract").empty()) {
    Contract::Parse(path, text, problems);
  } else if (!document.All("collection").empty()) {
    CollectionMap::Parse(path, text, problems);
  } else if (!document.All("listen").empty()) {
    InstanceSettings::Parse(path, text, problems);
  } else if (!document.All("instance").empty()) {
    (void)ParseInstanceList(path, text, problems);
  } else {
    problems.push_back(
        IniProblem{path, "", "",
                   "accepted is a file with a section [gateway], [contract], "
                   "[collection], [listen] or [instance NAME]"});
  }
}

std::vector<IniProblem> CheckFile(const std::string& path) {
  std::vector<IniProblem> problems;
  std::ifstream stream(path);
  if (!stream) {
    problems.push_back(IniProblem{path, "", "", "cannot be read"});
    return problems;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  CheckText(path, text.str(), problems);
  return problems;
}

}  // namespace

void CheckCommand::Declare(CLI::App& app) {
  CLI::App* command = app.add_subcommand(
      kName, "Checks settings, contracts, maps and instance lists.");
  command->footer(
      "Example:\n"
      "  jackdawrack check examples/coop/instances/*.ini\n"
      "Exit codes: 0 all files are good, 1 problems were printed, 2 bad use.");
  command->add_option("files", m_files, "INI files")->required();
}

ExitCode CheckCommand::Run() {
  std::size_t count = 0;
  for (const std::string& path : m_files) {
    const std::vector<IniProblem> problems = CheckFile(path);
    fmt::print("{}",
               problems.empty() ? path + ": ok\n" : JoinProblems(problems));
    count += problems.size();
  }
  return count == 0 ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace jackdawrack

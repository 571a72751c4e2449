#pragma once

#include <vector>

#include "tool/command.h"

namespace jackdawrack {

/// Shows what was done for one request: what was tried, where, when and why.
class ExplainCommand final {
 public:
  static constexpr const char* kName = "explain";

  void Declare(CLI::App& app);
  ExitCode Run();

 private:
  ExitCode ExplainFromInstances();
  [[nodiscard]] ExitCode ExplainFromLogs() const;

  std::string m_request;
  std::vector<std::string> m_at;
  std::vector<std::string> m_logs;
};

static_assert(Command<ExplainCommand>);

}  // namespace jackdawrack

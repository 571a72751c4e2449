#pragma once

#include <vector>

#include "tool/command.h"

namespace jackdawrack {

/// Shows the status of instances, one line each, and names each one that could
/// not be read.
class StatusCommand final {
 public:
  static constexpr const char* kName = "status";

  void Declare(CLI::App& app);
  ExitCode Run();

 private:
  std::vector<std::string> m_at;
};

static_assert(Command<StatusCommand>);

}  // namespace jackdawrack

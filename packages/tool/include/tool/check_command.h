#pragma once

#include <vector>

#include "tool/command.h"

namespace jackdawrack {

/// Checks files of any kind that the product reads: settings, contracts, maps
/// and instance lists, told apart by their sections. Prints every problem.
class CheckCommand final {
 public:
  static constexpr const char* kName = "check";

  void Declare(CLI::App& app);
  ExitCode Run();

 private:
  std::vector<std::string> m_files;
};

static_assert(Command<CheckCommand>);

}  // namespace jackdawrack

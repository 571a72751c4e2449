#pragma once

#include <vector>

#include "tool/command.h"

namespace jackdawrack {

/// Shows per customer the contract in force on each instance, names customers
/// whose contract differs between instances, and each instance that was not
/// read.
class ContractsCommand final {
 public:
  static constexpr const char* kName = "contracts";

  void Declare(CLI::App& app);
  ExitCode Run();

 private:
  std::vector<std::string> m_at;
};

static_assert(Command<ContractsCommand>);

}  // namespace jackdawrack

#pragma once

#include "tool/call_options.h"
#include "tool/command.h"

namespace jackdawrack {

/// Sends one query and prints the answer.
class QueryCommand final {
 public:
  static constexpr const char* kName = "query";

  void Declare(CLI::App& app);
  ExitCode Run();

 private:
  CallOptions m_options;
};

static_assert(Command<QueryCommand>);

}  // namespace jackdawrack

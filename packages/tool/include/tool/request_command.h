#pragma once

#include "tool/call_options.h"
#include "tool/command.h"

namespace jackdawrack {

/// Sends one non-idempotent request, once, under a fresh idempotency key.
class RequestCommand final {
 public:
  static constexpr const char* kName = "request";

  void Declare(CLI::App& app);
  ExitCode Run();

 private:
  CallOptions m_options;
  std::string m_key;
  std::string m_idempotency_key;
};

static_assert(Command<RequestCommand>);

}  // namespace jackdawrack

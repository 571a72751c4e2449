#pragma once

#include <cstdint>
#include <vector>

#include "tool/command.h"
#include "tool/load_settings.h"

namespace jackdawrack {

/// Sends load to instances and prints what came back.
class LoadCommand final {
 public:
  static constexpr const char* kName = "load";

  void Declare(CLI::App& app);
  ExitCode Run();

 private:
  LoadSettings m_settings;
  std::vector<std::string> m_at;
  std::string m_customer;
  std::vector<std::string> m_queries;
  std::vector<std::string> m_requests;
  double m_duration_s = 5;
  double m_warmup_s = 0;
  std::uint32_t m_timeout_ms = 5000;
  bool m_as_json = false;
};

static_assert(Command<LoadCommand>);

}  // namespace jackdawrack

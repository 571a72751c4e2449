#pragma once

#include <vector>

#include "tool/burn_report.h"
#include "tool/command.h"

namespace jackdawrack {

/// Samples the instances' metrics and reports how fast each customer's
/// latency and coverage budgets are spent, and by what.
class BurnCommand final {
 public:
  static constexpr const char* kName = "burn";

  void Declare(CLI::App& app);
  ExitCode Run();

 private:
  [[nodiscard]] BurnReport Sample(const BurnObjectives& objectives) const;

  std::vector<std::string> m_at;
  double m_interval_s = 2;
  std::size_t m_samples = 6;
  BurnObjective m_objective;
  std::string m_objectives_file;
  std::string m_html_file;
};

static_assert(Command<BurnCommand>);

}  // namespace jackdawrack

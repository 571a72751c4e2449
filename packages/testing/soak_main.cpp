#include <fmt/format.h>

#include <CLI/CLI.hpp>

#include "testing/soak_run.h"

int main(int argc, char** argv) {
  CLI::App app{"Checks gateway instances under drawn, overlapping troubles."};
  jackdawrack::SoakSettings settings;
  int seconds = 60;
  app.add_option("--seed", settings.m_seed, "seed of the troubles");
  app.add_option("--seconds", seconds, "time in which troubles begin");
  app.add_option("--instances", settings.m_instances, "number of instances");
  app.add_option("--callers", settings.m_callers, "number of callers");
  app.add_option("--bin", settings.m_bin_folder, "folder of the programs");
  CLI11_PARSE(app, argc, argv);
  settings.m_length = std::chrono::seconds(seconds);

  const jackdawrack::SoakReport report = jackdawrack::RunSoak(settings);
  fmt::print("{}", report.m_text);
  return report.m_faults == 0 ? 0 : 1;
}

#include <fmt/format.h>

#include <CLI/CLI.hpp>

#include "testing/random_run.h"

int main(int argc, char** argv) {
  CLI::App app{"Checks the promises on real processes under drawn faults."};
  jackdawrack::RandomRunSettings settings;
  double minutes = 1;
  app.add_option("--seed", settings.m_seed, "seed of the schedule");
  app.add_option("--minutes", minutes, "length of the run");
  app.add_option("--steps", settings.m_max_steps, "most steps; 0: no bound");
  app.add_flag("--only-pairs", settings.m_only_pairs,
               "leave out the round in which each fault is alone");
  app.add_option("--bin", settings.m_bin_folder, "folder of the programs");
  app.add_option("--without", settings.m_without,
                 "names of faults that are not drawn");
  CLI11_PARSE(app, argc, argv);
  constexpr double kMsPerMinute = 60'000;
  settings.m_length = jackdawrack::Milliseconds(
      static_cast<std::int64_t>(minutes * kMsPerMinute));

  const std::string fault = jackdawrack::RunRandomly(settings);
  if (!fault.empty()) {
    fmt::print(
        "violation: {}\nbring back: random_run --seed {} --minutes {}{}\n",
        fault, settings.m_seed, minutes,
        settings.m_only_pairs ? " --only-pairs" : "");
    return 1;
  }
  fmt::print("seed {}: no violation\n", settings.m_seed);
  return 0;
}

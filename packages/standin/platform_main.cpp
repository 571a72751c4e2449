#include <fmt/format.h>

#include <CLI/CLI.hpp>

#include "core/worker_pool.h"
#include "standin/platform_standin.h"

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for the configuration service, for tests."};
  std::string listen;
  std::string directory;
  app.add_option("--listen", listen, "IP:PORT")->required();
  app.add_option("--values", directory, "directory of NAME.ini files");
  CLI11_PARSE(app, argc, argv);

  const auto endpoint = jackdawrack::Endpoint::Parse(listen);
  if (!endpoint) {
    fmt::print(stderr, "--listen: accepted is IP:PORT\n");
    return 2;
  }
  jackdawrack::WorkerPool workers(1);
  jackdawrack::PlatformStandin platform(workers.Context(), *endpoint);
  if (!directory.empty()) {
    platform.LoadDirectory(directory);
  }
  const auto started = platform.Start();
  if (!started) {
    fmt::print(stderr, "{}\n", started.error().m_message);
    return 1;
  }
  workers.Context().run();
  return 0;
}

#include <fmt/format.h>

#include <CLI/CLI.hpp>

#include "core/worker_pool.h"
#include "standin/fault_proxy.h"

int main(int argc, char** argv) {
  CLI::App app{"Fault-injecting TCP proxy, for tests."};
  std::string control;
  jackdawrack::FaultProxySettings settings;
  app.add_option("--control", control, "IP:PORT")->required();
  app.add_option("--seed", settings.m_seed, "seed of every random draw");
  CLI11_PARSE(app, argc, argv);

  const auto endpoint = jackdawrack::Endpoint::Parse(control);
  if (!endpoint) {
    fmt::print(stderr, "--control: accepted is IP:PORT\n");
    return 2;
  }
  settings.m_control = *endpoint;
  jackdawrack::WorkerPool workers(1);
  jackdawrack::FaultProxy proxy(workers.Context(), settings);
  const auto started = proxy.Start();
  if (!started) {
    fmt::print(stderr, "{}\n", started.error().m_message);
    return 1;
  }
  workers.Context().run();
  return 0;
}

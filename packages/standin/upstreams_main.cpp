#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <sstream>

#include "core/worker_pool.h"
#include "model/collection_map.h"
#include "standin/upstream_standin.h"

namespace {

constexpr std::size_t kWorkerThreads = 2;

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-ins for all upstreams of some maps, for tests."};
  std::vector<std::string> maps;
  std::uint64_t service_ms = 2;
  std::string domain;
  std::vector<std::string> only;
  std::vector<std::string> except;
  app.add_option("--map", maps, "map INI file; may be repeated")->required();
  app.add_option("--service-ms", service_ms, "time of one request");
  app.add_option("--domain", domain, "only upstreams of this domain");
  app.add_option("--only", only, "upstream to serve; may be repeated");
  app.add_option("--except", except, "upstream to leave out");
  CLI11_PARSE(app, argc, argv);

  jackdawrack::WorkerPool workers(kWorkerThreads);
  std::vector<std::unique_ptr<jackdawrack::UpstreamStandin>> standins;
  for (const std::string& path : maps) {
    std::vector<jackdawrack::IniProblem> problems;
    const auto map =
        jackdawrack::CollectionMap::Parse(path, ReadFile(path), problems);
    if (!problems.empty()) {
      fmt::print(stderr, "{}", jackdawrack::JoinProblems(problems));
      return 2;
    }
    for (const jackdawrack::Upstream& upstream : map.Upstreams()) {
      const std::string& name = upstream.m_id.Text();
      const bool is_served =
          (domain.empty() || upstream.m_domain.Text() == domain) &&
          (only.empty() || Contains(only, name)) && !Contains(except, name);
      if (!is_served) {
        continue;
      }
      jackdawrack::UpstreamStandinSettings settings;
      settings.m_upstream = upstream;
      settings.m_service_time = jackdawrack::Milliseconds(service_ms);
      if (map.PreviousIndexVersion() != 0) {
        settings.m_index_versions.push_back(map.PreviousIndexVersion());
      }
      settings.m_index_versions.push_back(map.IndexVersion());
      standins.push_back(std::make_unique<jackdawrack::UpstreamStandin>(
          workers.Context(), settings));
      const auto started = standins.back()->Start();
      if (!started) {
        fmt::print(stderr, "{}\n", started.error().m_message);
        return 1;
      }
    }
  }
  workers.Start();
  workers.Context().run();
  return 0;
}

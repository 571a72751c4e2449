#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/upstream.h"

namespace jackdawrack {

/// Size of a test map.
struct TestMapSettings {
  std::size_t m_shards = 6;
  /// Replica r of shard s is in domain (s + r) modulo the number of domains.
  std::size_t m_replicas = 2;
  std::uint32_t m_slots = 4;
  std::uint32_t m_connections = 25;
  std::uint32_t m_connect_cost_ms = 0;
  std::size_t m_shards_per_block = 2;
};

/// A map that a test can change and publish again.
class TestMap final {
 public:
  struct TestShard {
    std::string m_name;
    std::uint64_t m_begin = 0;
    std::uint64_t m_end = 0;
    std::vector<std::string> m_replicas;
  };

  /// Upstream "u-S-R" listens on 127.0.0.1 at `first_port` and upwards.
  TestMap(const TestMapSettings& settings,
          const std::vector<std::string>& domains,
          std::uint16_t first_port);

  /// The INI text of the present state.
  [[nodiscard]] std::string ToText() const;

  /// The upstream of this name.
  [[nodiscard]] Upstream& Find(const std::string& upstream);

  // Public so that tests can split, merge and move shards
  std::uint64_t m_revision = 1;
  std::uint64_t m_index_version = 7;
  std::uint64_t m_previous_index_version = 6;
  std::vector<TestShard> m_shards;
  std::vector<Upstream> m_upstreams;

 private:
  std::size_t m_shards_per_block;
};

}  // namespace jackdawrack

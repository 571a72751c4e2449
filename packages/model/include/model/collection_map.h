#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ini.h"
#include "model/ids.h"
#include "model/shard.h"
#include "model/upstream.h"

namespace jackdawrack {

/// The published layout of one collection: shards that tile the key space.
class CollectionMap final {
 public:
  /// Parses the map's INI text; on any problem nothing of it may be used.
  static CollectionMap Parse(const std::string& file,
                             const std::string& text,
                             std::vector<IniProblem>& problems);

  [[nodiscard]] const CollectionName& Name() const { return m_name; }
  /// Increases with every published change of the layout.
  [[nodiscard]] std::uint64_t Revision() const { return m_revision; }
  /// Newest published version of the index.
  [[nodiscard]] std::uint64_t IndexVersion() const { return m_index_version; }
  /// The version before it, still served during a change; 0 if there is none.
  [[nodiscard]] std::uint64_t PreviousIndexVersion() const {
    return m_previous_index_version;
  }
  /// Shards in order of key.
  [[nodiscard]] const std::vector<Shard>& Shards() const { return m_shards; }
  [[nodiscard]] const std::vector<Upstream>& Upstreams() const {
    return m_upstreams;
  }

  /// Failure domains that hold an upstream, sorted by name.
  [[nodiscard]] const std::vector<FailureDomain>& Domains() const {
    return m_domains;
  }

  /// Position in `Domains` of the domain of the upstream at this position.
  [[nodiscard]] std::uint32_t DomainOfUpstream(std::uint32_t upstream) const {
    return m_upstream_domains[upstream];
  }

  /// Position of the shard that holds `key`.
  [[nodiscard]] std::size_t ShardAt(std::uint64_t key) const;

  /// Number of blocks of neighbouring shards.
  [[nodiscard]] std::size_t BlockCount() const;

  /// Block of the shard at this position; owners are chosen by block.
  [[nodiscard]] std::size_t BlockOfShard(std::size_t shard) const {
    return shard / m_shards_per_block;
  }

  friend bool operator==(const CollectionMap&, const CollectionMap&) = default;

 private:
  void IndexDomains();

  CollectionName m_name;
  std::uint64_t m_revision = 0;
  std::uint64_t m_index_version = 0;
  std::uint64_t m_previous_index_version = 0;
  std::size_t m_shards_per_block = 1;
  std::vector<Shard> m_shards;
  std::vector<Upstream> m_upstreams;
  std::vector<FailureDomain> m_domains;
  std::vector<std::uint32_t> m_upstream_domains;
};

}  // namespace jackdawrack

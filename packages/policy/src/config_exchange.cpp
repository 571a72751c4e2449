#include "policy/config_exchange.h"

#include <map>

#include "core/check.h"

namespace jackdawrack {
namespace {

// Maximum number of values that one message requests.
constexpr std::size_t kMaxWantedNames = 1000;

std::vector<bool> MarkedGroups(const std::vector<std::uint32_t>& groups) {
  std::vector<bool> marked(kDigestBuckets, false);
  for (const std::uint32_t group : groups) {
    if (group < kDigestBuckets) {
      marked[group] = true;
    }
  }
  return marked;
}

}  // namespace

void AddBuckets(const ConfigStore& store, ControlMessage& message) {
  const BucketHashes buckets = store.Buckets();
  message.m_buckets.assign(buckets.begin(), buckets.end());
}

ControlMessage MakeComparison(const ConfigStore& store,
                              const std::vector<std::uint32_t>& theirs) {
  JR_CHECK(theirs.size() == kDigestBuckets);
  ControlMessage message;
  message.m_kind = ControlKind::kCompare;
  const BucketHashes ours = store.Buckets();
  for (std::uint32_t i = 0; i < kDigestBuckets; ++i) {
    if (ours[i] != theirs[i]) {
      message.m_compared.push_back(i);
    }
  }
  message.m_digests = store.DigestsIn(MarkedGroups(message.m_compared));
  return message;
}

void AnswerComparison(const ConfigStore& store,
                      const ControlMessage& comparison,
                      ControlMessage& reply) {
  // Request values that rank higher at the peer
  std::map<std::string, ConfigRank> theirs;
  for (const ValueDigest& digest : comparison.m_digests) {
    theirs[digest.m_name] = digest.m_rank;
    const auto ours = store.RankOf(digest.m_name);
    const bool is_wanted = !ours || *ours < digest.m_rank;
    if (is_wanted && reply.m_wanted.size() < kMaxWantedNames) {
      reply.m_wanted.push_back(digest.m_name);
    }
  }

  // Send values that rank higher here
  std::vector<std::string> newer;
  for (const ValueDigest& digest :
       store.DigestsIn(MarkedGroups(comparison.m_compared))) {
    const auto found = theirs.find(digest.m_name);
    if (found == theirs.end() || found->second < digest.m_rank) {
      newer.push_back(digest.m_name);
    }
  }
  AddValues(store, newer, reply);
}

void AddValues(const ConfigStore& store,
               const std::vector<std::string>& names,
               ControlMessage& message) {
  std::size_t bytes = 0;
  for (const std::string& name : names) {
    const PublishedValue* value = store.Find(name);
    if (value == nullptr) {
      continue;
    }
    // A value as large as the limit or larger is sent alone
    if (bytes > 0 && bytes + value->m_text.size() > kMaxMessageValueBytes) {
      message.m_has_more = true;
      return;
    }
    bytes += value->m_text.size();
    message.m_values.push_back(*value);
  }
}

std::vector<std::vector<PublishedValue>> SplitValues(
    const std::vector<PublishedValue>& values) {
  std::vector<std::vector<PublishedValue>> batches;
  std::size_t bytes = 0;
  for (const PublishedValue& value : values) {
    const std::size_t size = value.m_text.size();
    if (batches.empty() || bytes + size > kMaxMessageValueBytes) {
      batches.emplace_back();
      bytes = 0;
    }
    bytes += size;
    batches.back().push_back(value);
  }
  return batches;
}

}  // namespace jackdawrack

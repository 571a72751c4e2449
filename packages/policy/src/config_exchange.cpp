#include "policy/config_exchange.h"

#include <map>

#include "core/check.h"

namespace jackdawrack {
namespace {

// Maximum number of values that one message requests.
constexpr std::size_t kMaxRequestedValues = 1000;

std::vector<bool> SelectBuckets(const std::vector<std::uint32_t>& indices) {
  std::vector<bool> is_selected(kDigestBuckets, false);
  for (const std::uint32_t index : indices) {
    if (index < kDigestBuckets) {
      is_selected[index] = true;
    }
  }
  return is_selected;
}

}  // namespace

void AddBucketHashes(const ConfigStore& store, ControlMessage& message) {
  const BucketHashes buckets = store.GetBucketHashes();
  message.m_bucket_hashes.assign(buckets.begin(), buckets.end());
}

ControlMessage MakeCompareRequest(
    const ConfigStore& store,
    const std::vector<std::uint32_t>& peer_hashes) {
  JR_CHECK(peer_hashes.size() == kDigestBuckets);
  ControlMessage message;
  message.m_kind = ControlKind::kCompare;
  const BucketHashes own_hashes = store.GetBucketHashes();
  for (std::uint32_t i = 0; i < kDigestBuckets; ++i) {
    if (own_hashes[i] != peer_hashes[i]) {
      message.m_compared_buckets.push_back(i);
    }
  }
  message.m_digests =
      store.DigestsIn(SelectBuckets(message.m_compared_buckets));
  return message;
}

void AnswerCompareRequest(const ConfigStore& store,
                          const ControlMessage& request,
                          ControlMessage& reply) {
  // Request values that rank higher at the peer
  std::map<std::string, ConfigRank> peer_ranks;
  for (const ValueDigest& digest : request.m_digests) {
    peer_ranks[digest.m_name] = digest.m_rank;
    const auto own_rank = store.RankOf(digest.m_name);
    const bool is_newer_at_peer = !own_rank || *own_rank < digest.m_rank;
    if (is_newer_at_peer &&
        reply.m_requested_names.size() < kMaxRequestedValues) {
      reply.m_requested_names.push_back(digest.m_name);
    }
  }

  // Send values that rank higher here
  std::vector<std::string> newer_names;
  for (const ValueDigest& digest :
       store.DigestsIn(SelectBuckets(request.m_compared_buckets))) {
    const auto found = peer_ranks.find(digest.m_name);
    if (found == peer_ranks.end() || found->second < digest.m_rank) {
      newer_names.push_back(digest.m_name);
    }
  }
  AddValues(store, newer_names, reply);
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

std::vector<std::vector<PublishedValue>> SplitIntoBatches(
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

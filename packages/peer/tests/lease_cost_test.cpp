#include <catch2/catch.hpp>

#include "peer/frame_codec.h"
#include "policy/lease_timing.h"
#include "policy/witness_set.h"

namespace jackdawrack {
namespace {

/// Bytes before each frame on the wire.
constexpr double kHeaderBytes = 4;

/// Bytes a second that an instance may spend on control in all, at the target
/// size.
constexpr double kControlBudget = 7000;
constexpr double kTargetInstances = 3800;

LeaseHolderId SampleHolder() {
  return LeaseHolderId{InstanceId("auckland-123"), 1};
}

/// Bytes a second that one holder sends and receives for its renewals.
double RenewalBytesPerSecond(std::size_t slots, std::size_t witnesses) {
  LeaseRequest ask;
  ask.m_requester = SampleHolder();
  LeaseVotes votes;
  for (std::size_t slot = 0; slot < slots; ++slot) {
    ask.m_slots.push_back(static_cast<KeySlot>(slot));
    votes.m_grants.push_back(LeaseGrant{static_cast<KeySlot>(slot), 1});
  }
  const double bytes =
      static_cast<double>(BinaryCodec::Encode(LeaseCall{1, ask}).size() +
                          BinaryCodec::Encode(LeaseReply{1, votes}).size()) +
      2 * kHeaderBytes;
  const double rounds_per_second =
      1000.0 / static_cast<double>(LeaseTiming().m_renew_interval.count());
  return bytes * static_cast<double>(witnesses) * rounds_per_second;
}

TEST_CASE("renewing leases fits the control budget at the target size") {
  // Every holder has one slot; witnesses' work is spread over the fleet
  const double holder = RenewalBytesPerSecond(1, kMaxWitnesses);
  const double mean = 2 * holder * kKeySlotCount / kTargetInstances;
  // Nine instances share the slots; each is a witness of the other eight too
  const double today =
      2 * RenewalBytesPerSecond((kKeySlotCount + 8) / 9, kMaxWitnesses - 1);
  WARN("bytes a second, sent and received: a holder of one slot "
       << holder << ", the mean instance " << mean
       << "; every instance of a fleet of nine " << today);
  CHECK(holder + mean < kControlBudget);
}

}  // namespace
}  // namespace jackdawrack

#include <catch2/catch.hpp>

#include "peer/frame_codec.h"
#include "policy/lease_timing.h"
#include "policy/witness_set.h"

namespace jackdawrack {
namespace {

/// Size of the length prefix of each frame, in bytes.
constexpr double kHeaderBytes = 4;

/// Limit on the control traffic of an instance at the target fleet size, in
/// bytes per second, sent and received.
constexpr double kMaxControlBytesPerSecond = 7000;
constexpr double kTargetInstances = 3800;

LeaseHolderId SampleHolder() {
  return LeaseHolderId{InstanceId("auckland-123"), 1};
}

/// Returns the bytes per second that one lease holder sends and receives to
/// renew the leases of its slots.
double RenewalBytesPerSecond(std::size_t slots, std::size_t witnesses) {
  LeaseRequest request;
  request.m_requester = SampleHolder();
  LeaseVotes votes;
  for (std::size_t slot = 0; slot < slots; ++slot) {
    request.m_slots.push_back(static_cast<KeySlot>(slot));
    votes.m_grants.push_back(LeaseGrant{static_cast<KeySlot>(slot), 1});
  }
  const double bytes =
      static_cast<double>(BinaryCodec::Encode(LeaseCall{1, request}).size() +
                          BinaryCodec::Encode(LeaseReply{1, votes}).size()) +
      2 * kHeaderBytes;
  const double rounds_per_second =
      1000.0 / static_cast<double>(LeaseTiming().m_renew_interval.count());
  return bytes * static_cast<double>(witnesses) * rounds_per_second;
}

TEST_CASE(
    "lease renewal traffic is within the control budget at the target fleet "
    "size") {
  // Each holder has one slot. The traffic of holders and witnesses, averaged
  // over the whole fleet, gives the mean per instance.
  const double holder = RenewalBytesPerSecond(1, kMaxWitnesses);
  const double mean = 2 * holder * kKeySlotCount / kTargetInstances;
  // In a fleet of 9 instances, each holds a ninth of the slots and is also a
  // witness of the other 8
  const double nine_instances =
      2 * RenewalBytesPerSecond((kKeySlotCount + 8) / 9, kMaxWitnesses - 1);
  WARN("bytes per second, sent and received: holder of one slot "
       << holder << ", mean per instance " << mean
       << "; each instance of a fleet of 9 " << nine_instances);
  CHECK(holder + mean < kMaxControlBytesPerSecond);
}

}  // namespace
}  // namespace jackdawrack

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "model/ids.h"

namespace jackdawrack {

/// Index of a hash slot, from 0 to `kKeySlotCount` - 1. Each idempotency key
/// belongs to one slot; leases are granted per slot.
using KeySlot = std::uint16_t;

/// Number of hash slots. Independent of shard maps and instance lists; must be
/// the same in every build, since a change would move keys to other leases.
inline constexpr KeySlot kKeySlotCount = 256;

/// The slot of a customer's idempotency key. Depends only on the arguments and
/// not on published configuration, so that a repartition never moves a key to
/// another lease.
[[nodiscard]] KeySlot KeySlotOf(const Customer& customer,
                                const std::string& idempotency_key);

/// The creation time in a UUIDv7, or `std::nullopt` if the text is not a
/// UUIDv7.
[[nodiscard]] std::optional<UnixMs> UuidV7Timestamp(const std::string& uuid);

}  // namespace jackdawrack

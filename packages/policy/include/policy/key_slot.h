#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "model/ids.h"

namespace jackdawrack {

/// One of a fixed number of parts that all idempotency keys fall into.
using KeySlot = std::uint16_t;

/// Number of slots; the same in every build, whatever maps and lists say.
inline constexpr KeySlot kKeySlotCount = 256;

/// The slot of a customer's idempotency key. It depends on nothing that is
/// published, so that a repartition never moves a key to another lease.
[[nodiscard]] KeySlot KeySlotOf(const Customer& customer,
                                const std::string& idempotency_key);

/// The time at which a UUIDv7 says it was minted, or nothing if the text is
/// not a UUIDv7.
[[nodiscard]] std::optional<UnixMs> MintTimeOf(const std::string& uuid);

}  // namespace jackdawrack

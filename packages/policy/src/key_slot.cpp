#include "policy/key_slot.h"

#include <charconv>

#include "core/hash.h"

namespace jackdawrack {
namespace {

constexpr std::size_t kUuidTextBytes = 36;
constexpr std::size_t kVersionOffset = 14;
constexpr std::size_t kTimestampHighDigits = 8;
constexpr std::size_t kTimestampLowDigits = 4;
constexpr int kHexBase = 16;

std::optional<std::uint64_t> ParseHex(const std::string& text,
                                      std::size_t begin,
                                      std::size_t digits) {
  std::uint64_t value = 0;
  const char* first = text.data() + begin;
  const auto read = std::from_chars(first, first + digits, value, kHexBase);
  if (read.ec != std::errc() || read.ptr != first + digits) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

KeySlot KeySlotOf(const Customer& customer,
                  const std::string& idempotency_key) {
  const std::uint64_t hash = Hash64(idempotency_key, Hash64(customer.Text()));
  return static_cast<KeySlot>(hash % kKeySlotCount);
}

std::optional<UnixMs> UuidV7Timestamp(const std::string& uuid) {
  if (uuid.size() != kUuidTextBytes || uuid[kVersionOffset] != '7') {
    return std::nullopt;
  }
  const auto high = ParseHex(uuid, 0, kTimestampHighDigits);
  const auto low =
      ParseHex(uuid, kTimestampHighDigits + 1, kTimestampLowDigits);
  if (!high || !low) {
    return std::nullopt;
  }
  return static_cast<UnixMs>(*high << 16 | *low);
}

}  // namespace jackdawrack

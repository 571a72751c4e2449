#include "policy/key_slot.h"

#include <charconv>

#include "core/hash.h"

namespace jackdawrack {
namespace {

constexpr std::size_t kUuidTextBytes = 36;
constexpr std::size_t kVersionPlace = 14;
constexpr std::size_t kHighTimeDigits = 8;
constexpr std::size_t kLowTimeDigits = 4;
constexpr int kHexadecimal = 16;

std::optional<std::uint64_t> ReadHex(const std::string& text,
                                     std::size_t begin,
                                     std::size_t digits) {
  std::uint64_t value = 0;
  const char* first = text.data() + begin;
  const auto read = std::from_chars(first, first + digits, value, kHexadecimal);
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

std::optional<UnixMs> MintTimeOf(const std::string& uuid) {
  if (uuid.size() != kUuidTextBytes || uuid[kVersionPlace] != '7') {
    return std::nullopt;
  }
  const auto high = ReadHex(uuid, 0, kHighTimeDigits);
  const auto low = ReadHex(uuid, kHighTimeDigits + 1, kLowTimeDigits);
  if (!high || !low) {
    return std::nullopt;
  }
  return static_cast<UnixMs>(*high << 16 | *low);
}

}  // namespace jackdawrack

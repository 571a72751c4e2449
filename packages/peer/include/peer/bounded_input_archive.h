#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cstring>
#include <string_view>

namespace jackdawrack {

/// Reads little-endian binary from memory and refuses lengths that cannot be
/// true, so that a bad frame allocates no more than its own size.
class BoundedInputArchive final
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive(this), m_rest(bytes) {}

  /// Copies the next bytes; throws if there are fewer.
  void loadBinary(void* data, std::size_t size) {
    if (size > m_rest.size()) {
      throw cereal::Exception("frame ends early");
    }
    std::memcpy(data, m_rest.data(), size);
    m_rest.remove_prefix(size);
  }

  [[nodiscard]] std::size_t RestSize() const { return m_rest.size(); }

 private:
  std::string_view m_rest;
};

/// Loads one number.
template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value) {
  archive.loadBinary(&value, sizeof(value));
}

/// Loads a container's length; every element takes at least one byte.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::SizeTag<T>& tag) {
  archive.loadBinary(&tag.size, sizeof(tag.size));
  if (tag.size > archive.RestSize()) {
    throw cereal::Exception("length exceeds the frame");
  }
}

/// Loads raw data.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.loadBinary(data.data, data.size);
}

/// Loads a named value; the name is not in the bytes.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

}  // namespace jackdawrack

/// Tells cereal which archive writes what this one reads.
template <>
struct cereal::traits::detail::get_output_from_input<
    jackdawrack::BoundedInputArchive> {
  using type = cereal::BinaryOutputArchive;
};

#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cstring>
#include <string_view>

namespace jackdawrack {

/// Input archive that reads little-endian binary data from memory. It rejects
/// a length that exceeds the remaining input, so that a malformed frame cannot
/// cause an allocation of more elements than the frame has bytes.
class BoundedInputArchive final
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive(this), m_remaining(bytes) {}

  /// Copies the next `size` bytes to `data`. Throws `cereal::Exception` if
  /// fewer bytes remain.
  void loadBinary(void* data, std::size_t size) {
    if (size > m_remaining.size()) {
      throw cereal::Exception("frame is truncated");
    }
    std::memcpy(data, m_remaining.data(), size);
    m_remaining.remove_prefix(size);
  }

  /// Number of bytes that have not been read yet.
  [[nodiscard]] std::size_t RemainingBytes() const {
    return m_remaining.size();
  }

 private:
  std::string_view m_remaining;
};

/// Loads an arithmetic value.
template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value) {
  archive.loadBinary(&value, sizeof(value));
}

/// Loads a truth value. Throws `cereal::Exception` if the byte is neither 0 nor
/// 1, which a `bool` cannot hold.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                                      bool& value) {
  unsigned char byte = 0;
  archive.loadBinary(&byte, sizeof(byte));
  if (byte > 1) {
    throw cereal::Exception("a truth value is neither 0 nor 1");
  }
  value = byte == 1;
}

/// Loads the length of a container. Throws `cereal::Exception` if the length
/// exceeds the remaining bytes, as each element takes at least one byte.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::SizeTag<T>& tag) {
  archive.loadBinary(&tag.size, sizeof(tag.size));
  if (tag.size > archive.RemainingBytes()) {
    throw cereal::Exception(
        "container length exceeds the remaining bytes of the frame");
  }
}

/// Loads a block of raw bytes.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.loadBinary(data.data, data.size);
}

/// Loads the value of a name-value pair. The binary format has no names.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

}  // namespace jackdawrack

/// Registers the output archive that corresponds to `BoundedInputArchive`.
template <>
struct cereal::traits::detail::get_output_from_input<
    jackdawrack::BoundedInputArchive> {
  using type = cereal::BinaryOutputArchive;
};

#pragma once

#include <compare>
#include <functional>
#include <string>

namespace jackdawrack {

/// A text identifier whose type tells what it names.
template <typename Tag>
class StrongText final {
 public:
  StrongText() = default;
  explicit StrongText(std::string text) : m_text(std::move(text)) {}

  [[nodiscard]] const std::string& Text() const { return m_text; }
  [[nodiscard]] bool IsEmpty() const { return m_text.empty(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_text);
  }

  friend auto operator<=>(const StrongText&, const StrongText&) = default;
  friend bool operator==(const StrongText&, const StrongText&) = default;

 private:
  std::string m_text;
};

}  // namespace jackdawrack

template <typename Tag>
struct std::hash<jackdawrack::StrongText<Tag>> {
  std::size_t operator()(const jackdawrack::StrongText<Tag>& value) const {
    return std::hash<std::string>()(value.Text());
  }
};

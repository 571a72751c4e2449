#pragma once

#include <boost/outcome.hpp>
#include <string>

namespace jackdawrack {

/// An error of one layer: the layer's own code and a sentence for a person.
template <typename Code>
struct LayerError {
  Code m_code{};
  std::string m_message;

  friend bool operator==(const LayerError&, const LayerError&) = default;
};

/// Either a value or an error of the layer whose codes are `Code`.
template <typename T, typename Code>
using Result = boost::outcome_v2::unchecked<T, LayerError<Code>>;

/// Builds an error that converts to any `Result` of the same layer.
template <typename Code>
[[nodiscard]] LayerError<Code> MakeError(Code code, std::string message) {
  return LayerError<Code>{code, std::move(message)};
}

}  // namespace jackdawrack

#pragma once

#include <rapidcheck.h>

#include <string>

namespace jackdawrack {

/// Draws a text that is `text` with some bytes changed, removed or repeated.
inline std::string DrawMutation(std::string text) {
  const int changes = *rc::gen::inRange(0, 4);
  for (int change = 0; change < changes && !text.empty(); ++change) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
        break;
      default:
        text.insert(at, text.substr(at, *rc::gen::inRange<std::size_t>(1, 9)));
    }
  }
  return text;
}

}  // namespace jackdawrack

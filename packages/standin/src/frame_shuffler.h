#pragma once

#include <functional>
#include <string>

namespace jackdawrack {

/// Duplicates and swaps length-prefixed frames of one direction, as replies
/// that come late and crossed. The first frame, the greeting, stays as it is.
class FrameShuffler final {
 public:
  /// Takes bytes in and gives whole frames out; `draw` tells whether a frame
  /// is to be duplicated or held back behind the next one.
  [[nodiscard]] std::string Feed(const std::string& bytes,
                                 const std::function<bool()>& draw);

 private:
  void Emit(std::string frame,
            const std::function<bool()>& draw,
            std::string& out);

  std::string m_partial;
  std::string m_held_back;
  bool m_is_greeted = false;
};

}  // namespace jackdawrack

#include "frame_shuffler.h"

#include <boost/endian/conversion.hpp>

namespace jackdawrack {
namespace {

constexpr std::size_t kHeaderBytes = 4;

}  // namespace

std::string FrameShuffler::Feed(const std::string& bytes,
                                const std::function<bool()>& draw) {
  m_partial += bytes;
  std::string out;
  while (m_partial.size() >= kHeaderBytes) {
    const std::size_t size =
        kHeaderBytes +
        boost::endian::load_big_u32(
            reinterpret_cast<const unsigned char*>(m_partial.data()));
    if (m_partial.size() < size) {
      break;
    }
    Emit(m_partial.substr(0, size), draw, out);
    m_partial.erase(0, size);
  }
  return out;
}

void FrameShuffler::Emit(std::string frame,
                         const std::function<bool()>& draw,
                         std::string& out) {
  if (!m_is_greeted) {
    m_is_greeted = true;
    out += frame;
    return;
  }
  if (m_held_back.empty() && draw()) {
    m_held_back = std::move(frame);
    return;
  }
  out += frame;
  if (draw()) {
    out += frame;
  }
  out += std::exchange(m_held_back, {});
}

}  // namespace jackdawrack
